package poolmanager

import (
	"context"
	"maps"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// watchRequests keeps up with what the machine controller requests of pools.
func (t *poolOwnership) watchRequests() {
	reset := func(_ context.Context, items []store.Item) error {
		next := newRequestView()
		next.known = true
		for _, item := range items {
			t.applyRequest(&next, store.Event{Item: item})
		}
		t.requests.Update(func(requestView) (requestView, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		t.requests.Update(func(old requestView) (requestView, bool) {
			next := old.clone()
			for _, e := range events {
				t.applyRequest(&next, e)
			}
			return next, true
		})
	}
	t.newWatcher(poolstore.RequestPrefix, reset, apply).run(t.ctx, 0)
}

func (t *poolOwnership) applyRequest(v *requestView, e store.Event) {
	if err := v.apply(e); err != nil {
		t.invalid.logOnce(t.log, "entry of what is asked not understood", &e.Item, err)
	}
}

// watchWorkers keeps up with the platform's list of workers.
func (t *poolOwnership) watchWorkers() {
	reset := func(_ context.Context, items []store.Item) error {
		next := make(map[string]scheduler.WorkerInfo, len(items))
		for _, item := range items {
			t.takeWorker(next, store.Event{Item: item})
		}
		t.workers.Update(func(map[string]scheduler.WorkerInfo) (map[string]scheduler.WorkerInfo, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		t.workers.Update(func(old map[string]scheduler.WorkerInfo) (map[string]scheduler.WorkerInfo, bool) {
			next := maps.Clone(old)
			for _, e := range events {
				t.takeWorker(next, e)
			}
			return next, true
		})
	}
	f := t.newWatcher(t.Directory.WorkersPrefix(), reset, apply)
	f.pause = t.timing.WorkerListInterval
	f.run(t.ctx, 0)
}

func (t *poolOwnership) takeWorker(workers map[string]scheduler.WorkerInfo, e store.Event) {
	if e.Deleted {
		delete(workers, e.Key)
		return
	}
	facts, err := t.Directory.Worker(e.Item)
	if err != nil {
		t.invalid.logOnce(t.log, "entry of the list of workers ignored", &e.Item, err)
		delete(workers, e.Key)
		return
	}
	workers[e.Key] = facts
}
