package keeper

import (
	"context"
	"maps"

	"persimmonbay/internal/store"
	"persimmonbay/internal/work"
	"persimmonbay/internal/workstore"
)

// followAsked keeps up with what is asked of the pools.
func (t *tenure) followAsked() {
	reset := func(_ context.Context, items []store.Item) error {
		next := newAskedView()
		next.known = true
		for _, item := range items {
			t.takeAsked(&next, store.Event{Item: item})
		}
		t.asked.Update(func(askedView) (askedView, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		t.asked.Update(func(old askedView) (askedView, bool) {
			next := old.clone()
			for _, e := range events {
				t.takeAsked(&next, e)
			}
			return next, true
		})
	}
	t.follower(workstore.AskedPrefix, reset, apply).run(t.ctx, 0)
}

func (t *tenure) takeAsked(v *askedView, e store.Event) {
	if err := v.apply(e); err != nil {
		t.odd.tell(t.log, "entry of what is asked not understood", &e.Item, err)
	}
}

// followWorkers keeps up with the platform's list of workers.
func (t *tenure) followWorkers() {
	reset := func(_ context.Context, items []store.Item) error {
		next := make(map[string]work.WorkerInfo, len(items))
		for _, item := range items {
			t.takeWorker(next, store.Event{Item: item})
		}
		t.workers.Update(func(map[string]work.WorkerInfo) (map[string]work.WorkerInfo, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		t.workers.Update(func(old map[string]work.WorkerInfo) (map[string]work.WorkerInfo, bool) {
			next := maps.Clone(old)
			for _, e := range events {
				t.takeWorker(next, e)
			}
			return next, true
		})
	}
	f := t.follower(t.Directory.WorkersPrefix(), reset, apply)
	f.pause = t.bounds.ListPause
	f.run(t.ctx, 0)
}

func (t *tenure) takeWorker(workers map[string]work.WorkerInfo, e store.Event) {
	if e.Deleted {
		delete(workers, e.Key)
		return
	}
	facts, err := t.Directory.Worker(e.Item)
	if err != nil {
		t.odd.tell(t.log, "entry of the list of workers ignored", &e.Item, err)
		delete(workers, e.Key)
		return
	}
	workers[e.Key] = facts
}
