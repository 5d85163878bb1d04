package poolmanager

import (
	"context"
	"slices"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// runPool runs the pool until it is lost or handed over.
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
	t.rosters.Add(1)
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

// load reads the pool's jobs. It returns the revision after which to watch, and
// the machines that an earlier owner has offered.
// loadRoster reads what the last owner left, once: from then on this owner
// writes the key.
// addJob takes in a job with the progress that is kept of it.
// watchWork keeps up with jobs accepted and cancelled.
func (t *poolOwnership) watchWork(from int64) {
	t.newWatcher(poolstore.WorkPrefix(t.service), t.resetWork, t.takeWork).run(t.ctx, from)
}

// resetWork takes in all jobs, after the store has forgotten what came between.
// Those that are new to the pool may have a past: their progress is read too.
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

func (t *poolOwnership) takeWork(events []store.Event) {
	for _, e := range events {
		if t.replacedBy(e.Item) {
			return
		}
		if !e.Deleted {
			t.takeAccepted(e)
		}
	}
	t.plan.send()
}

// ownsAll reports whether all jobs among the items were accepted under this
// owner or earlier ones; if not, the ownership is over.
func (t *poolOwnership) ownsAll(items []store.Item) bool {
	return !slices.ContainsFunc(items, t.replacedBy)
}

// replacedBy reports whether the item tells of a later owner, and ends the ownership
// then. Jobs accepted under that owner are not for this one: the next owner does not
// wait for tasks of theirs.
func (t *poolOwnership) replacedBy(item store.Item) bool {
	if item.Key != poolstore.ChangeKey(t.service) || item.Revision <= t.token {
		return false
	}
	t.lose("the pool's work names a later owner")
	return true
}

// takeAccepted takes in a job or a cancel that was accepted.
func (t *poolOwnership) takeAccepted(e store.Event) {
	if id, ok := poolstore.ParseJob(t.service, e.Key); ok {
		t.addJob(id, e.Item, store.Item{}, t.Clock.Now())
	}
	if id, ok := poolstore.ParseCancel(t.service, e.Key); ok {
		t.pool.CancelJob(id, e.Revision)
	}
}

// watchWorkersOfPool keeps the pool's workers as the platform lists them, and
// one poller for each.
func (t *poolOwnership) watchWorkersOfPool() {
	for {
		all, changed := t.workers.Watch()
		asked, askedChanged := t.requests.Watch()
		fleet, fleetChanged := t.fleet.Watch()
		if all != nil && asked.known {
			t.takeMachines(all, asked, fleet)
		}
		select {
		case <-t.ctx.Done():
			return
		case <-changed:
		case <-askedChanged:
		case <-fleetChanged:
		}
	}
}

// takeMachines tells the pool of its workers, and what is requested of it.
func (t *poolOwnership) takeMachines(all map[string]scheduler.WorkerInfo, asked requestView, fleet fleetView) {
	var mine []scheduler.WorkerInfo
	for _, f := range all {
		if f.Service == t.service {
			mine = append(mine, f)
		}
	}
	t.pool.SetMachinesToEmpty(asked.machines(), asked.emptied())
	t.pool.SetWorkers(mine, t.Clock.Now())
	t.pool.SetShare(fleet.home[t.service], asked.recalls[t.service])
	t.rostered.send()
	t.startPollers(mine)
	t.plan.send()
}

func (t *poolOwnership) startPollers(workers []scheduler.WorkerInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range workers {
		id := workers[i].ID
		if t.pollers[id] == nil {
			l := &poller{poolOwnership: t, worker: id, kick: newSignal()}
			t.pollers[id] = l
			t.orders.Go(l.run)
		}
	}
}

// kick wakes the poller of a worker.
func (t *poolOwnership) kick(worker string) {
	t.mu.Lock()
	l := t.pollers[worker]
	t.mu.Unlock()
	if l != nil {
		l.kick.send()
	}
}
