package poolmanager

import (
	"context"
	"maps"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// watchRequests keeps the machine controller's requests up to date with the store
// until the ownership ends.
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
		t.invalid.logOnce(t.log, "request of the machine controller not understood, skipped", &e.Item, err)
	}
}

// watchWorkers keeps the list of workers up to date with the store until the ownership
// ends.
func (t *poolOwnership) watchWorkers() {
	reset := func(_ context.Context, items []store.Item) error {
		next := make(map[string]scheduler.WorkerInfo, len(items))
		for _, item := range items {
			t.applyWorker(next, store.Event{Item: item})
		}
		t.workers.Update(func(map[string]scheduler.WorkerInfo) (map[string]scheduler.WorkerInfo, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		t.workers.Update(func(old map[string]scheduler.WorkerInfo) (map[string]scheduler.WorkerInfo, bool) {
			next := maps.Clone(old)
			for _, e := range events {
				t.applyWorker(next, e)
			}
			return next, true
		})
	}
	f := t.newWatcher(t.Directory.WorkersPrefix(), reset, apply)
	f.pause = t.timing.WorkerListInterval
	f.run(t.ctx, 0)
}

func (t *poolOwnership) applyWorker(workers map[string]scheduler.WorkerInfo, e store.Event) {
	if e.Deleted {
		delete(workers, e.Key)
		return
	}
	worker, err := t.Directory.Worker(e.Item)
	if err != nil {
		t.invalid.logOnce(t.log, "registration of a worker not usable, the worker is ignored", &e.Item, err)
		delete(workers, e.Key)
		return
	}
	workers[e.Key] = worker
}
