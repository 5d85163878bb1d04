package poolmanager

import (
	"context"
	"slices"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// runPool loads the pool and runs it until it is lost or handed over.
func (t *poolOwnership) runPool() {
	defer t.cancel()
	go t.guard()
	from, offered, ok := t.load()
	if !ok {
		return
	}
	t.loaded.Store(true)
	t.orders.Go(t.watchRequests)
	t.orders.Go(t.watchWorkers)
	t.orders.Go(t.watchWorkersOfPool)
	t.orders.Go(func() { t.watchWork(from) })
	t.orders.Go(t.saveLoop)
	t.orders.Go(t.planLoop)
	t.orders.Go(t.confirmLoop)
	t.orders.Go(func() { t.capacityLoop(offered) })
	t.rosterLoopDone.Add(1)
	t.orders.Go(t.rosterLoop)
	t.orders.Go(t.machineWorkersLoop)
	t.orders.Go(t.sweepLoop)
	select {
	case <-t.ctx.Done():
	case <-t.leaving:
		t.release()
	}
	t.cancel()
	t.orders.Wait()
}

// watchWork watches for accepted and cancelled jobs until the ownership ends.
func (t *poolOwnership) watchWork(from int64) {
	t.newWatcher(poolstore.WorkPrefix(t.service), t.resetWork, t.applyWork).run(t.ctx, from)
}

// resetWork applies all jobs and cancellations, after the store has compacted the
// changes since the last watch. Jobs that are new to the pool may have progress from an
// earlier owner, so that is read too.
func (t *poolOwnership) resetWork(ctx context.Context, items []store.Item) error {
	if !t.ownsAll(items) {
		return nil
	}
	unknown := slices.ContainsFunc(items, func(i store.Item) bool {
		id, ok := poolstore.ParseJob(t.service, i.Key)
		return ok && !t.pool.HasJob(id)
	})
	if unknown {
		states, _, err := t.Store.Range(ctx, poolstore.StatePrefix(t.service))
		if err != nil {
			return err
		}
		t.addJobs(items, t.decodeStates(states), t.Clock.Now())
	}
	for _, item := range items {
		if id, ok := poolstore.ParseCancel(t.service, item.Key); ok {
			t.pool.CancelJob(id, item.Revision)
		}
	}
	t.plan.send()
	return nil
}

func (t *poolOwnership) applyWork(events []store.Event) {
	for _, e := range events {
		if t.replacedBy(e.Item) {
			return
		}
		if !e.Deleted {
			t.applyAccepted(e)
		}
	}
	t.plan.send()
}

// ownsAll reports whether all jobs among the items were accepted under this owner or
// earlier ones; if not, it ends the ownership.
func (t *poolOwnership) ownsAll(items []store.Item) bool {
	return !slices.ContainsFunc(items, t.replacedBy)
}

// replacedBy reports whether the item records a later owner, and ends the ownership if
// so. This owner must not start jobs that were accepted under the later one, which does
// not expect tasks of them to run.
func (t *poolOwnership) replacedBy(item store.Item) bool {
	if item.Key != poolstore.ChangeKey(t.service) || item.Revision <= t.token {
		return false
	}
	t.lose("a record among the pool's jobs names a later owner")
	return true
}

// applyAccepted applies an accepted job or cancellation.
func (t *poolOwnership) applyAccepted(e store.Event) {
	if id, ok := poolstore.ParseJob(t.service, e.Key); ok {
		t.addJob(id, e.Item, store.Item{}, t.Clock.Now())
	}
	if id, ok := poolstore.ParseCancel(t.service, e.Key); ok {
		t.pool.CancelJob(id, e.Revision)
	}
}

// watchWorkersOfPool keeps the pool's workers and the requests to the pool up to date,
// and one poller running for each worker, until the ownership ends.
func (t *poolOwnership) watchWorkersOfPool() {
	for {
		all, changed := t.workers.Watch()
		requests, requestsChanged := t.requests.Watch()
		fleet, fleetChanged := t.fleet.Watch()
		if all != nil && requests.known {
			t.applyWorkers(all, requests, fleet)
		}
		select {
		case <-t.ctx.Done():
			return
		case <-changed:
		case <-requestsChanged:
		case <-fleetChanged:
		}
	}
}

// applyWorkers passes the pool its workers and what the machine controller requests.
func (t *poolOwnership) applyWorkers(all map[string]scheduler.WorkerInfo, requests requestView, fleet fleetView) {
	var own []scheduler.WorkerInfo
	for _, w := range all {
		if w.Service == t.service {
			own = append(own, w)
		}
	}
	t.pool.SetMachinesToEmpty(requests.machines(), requests.emptied())
	t.pool.SetWorkers(own, t.Clock.Now())
	t.pool.SetShare(fleet.home[t.service], requests.recalls[t.service])
	t.rosterChanged.send()
	t.startPollers(own)
	t.plan.send()
}

func (t *poolOwnership) startPollers(workers []scheduler.WorkerInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range workers {
		id := workers[i].ID
		if t.pollers[id] == nil {
			p := &poller{poolOwnership: t, worker: id, kick: newSignal()}
			t.pollers[id] = p
			t.orders.Go(p.run)
		}
	}
}

// kick wakes the poller of a worker, if there is one.
func (t *poolOwnership) kick(worker string) {
	t.mu.Lock()
	p := t.pollers[worker]
	t.mu.Unlock()
	if p != nil {
		p.kick.send()
	}
}
