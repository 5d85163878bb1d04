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
func (o *poolOwnership) watchRequests() {
	reset := func(_ context.Context, items []store.Item) error {
		next := newRequestView()
		next.known = true
		for _, item := range items {
			o.applyRequest(&next, store.Event{Item: item})
		}
		o.requests.Update(func(requestView) (requestView, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		o.requests.Update(func(old requestView) (requestView, bool) {
			next := old.clone()
			for _, e := range events {
				o.applyRequest(&next, e)
			}
			return next, true
		})
	}
	o.newWatcher(poolstore.RequestPrefix, reset, apply).run(o.ctx, 0)
}

func (o *poolOwnership) applyRequest(v *requestView, e store.Event) {
	if err := v.apply(e); err != nil {
		o.invalid.logOnce(o.log, "request of the machine controller not understood, skipped", &e.Item, err)
	}
}

// watchWorkers keeps the list of workers up to date with the store until the ownership
// ends.
func (o *poolOwnership) watchWorkers() {
	reset := func(_ context.Context, items []store.Item) error {
		next := make(map[string]scheduler.WorkerInfo, len(items))
		for _, item := range items {
			o.applyWorker(next, store.Event{Item: item})
		}
		o.workers.Update(func(map[string]scheduler.WorkerInfo) (map[string]scheduler.WorkerInfo, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		o.workers.Update(func(old map[string]scheduler.WorkerInfo) (map[string]scheduler.WorkerInfo, bool) {
			next := maps.Clone(old)
			for _, e := range events {
				o.applyWorker(next, e)
			}
			return next, true
		})
	}
	w := o.newWatcher(o.Directory.WorkersPrefix(), reset, apply)
	w.pause = o.timing.WorkerListInterval
	w.run(o.ctx, 0)
}

func (o *poolOwnership) applyWorker(workers map[string]scheduler.WorkerInfo, e store.Event) {
	if e.Deleted {
		delete(workers, e.Key)
		return
	}
	worker, err := o.Directory.Worker(e.Item)
	if err != nil {
		o.invalid.logOnce(o.log, "registration of a worker not usable, the worker is ignored", &e.Item, err)
		delete(workers, e.Key)
		return
	}
	workers[e.Key] = worker
}
