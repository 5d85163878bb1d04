package poolmanager

import (
	"context"
	"slices"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// runPool loads the pool and runs it until it is lost or handed over.
func (o *poolOwnership) runPool() {
	defer o.cancel()
	o.spawn(o.guard)
	from, offered, ok := o.load()
	if !ok {
		o.releaseUnloaded()
		return
	}
	o.loaded.Store(true)
	quotas := newQuotaWriter(o)
	quotas.configure()
	o.spawn(quotas.run)
	o.kickAll()
	o.spawn(func() { o.watchWork(from) })
	o.spawn(o.followTeams)
	o.spawn(o.saveLoop)
	o.spawn(o.planLoop)
	o.spawn(o.confirmLoop)
	o.spawn(func() { o.capacityLoop(offered) })
	o.rosterLoopDone.Add(1)
	o.spawn(o.rosterLoop)
	o.spawn(o.machineWorkersLoop)
	o.spawn(o.sweepLoop)
	select {
	case <-o.ctx.Done():
	case <-o.leaving:
		o.release()
	}
}

// watchWork watches for accepted and cancelled jobs until the ownership ends.
func (o *poolOwnership) watchWork(from int64) {
	o.newWatcher(poolstore.JobsPrefix(o.service), o.resetWork, o.applyWork).run(o.ctx, from)
}

// resetWork applies all jobs and cancellations, after the store has compacted the
// changes since the last watch. Jobs that are new to the pool may have progress from an
// earlier owner, so that is read too.
func (o *poolOwnership) resetWork(ctx context.Context, items []store.Item) error {
	if !o.ownsAll(items) {
		return nil
	}
	unknown := slices.ContainsFunc(items, func(i store.Item) bool {
		id, ok := poolstore.ParseJob(o.service, i.Key)
		return ok && !o.pool.HasJob(id)
	})
	if unknown {
		if now := o.Clock.Now(); o.stateReread == nil || now.Sub(o.rereadBegan) > maxRereadAge {
			o.stateReread, o.rereadBegan = &rangeRead{prefix: poolstore.StatePrefix(o.service)}, now
		}
		if err := o.stateReread.finish(ctx, o.Store); err != nil {
			return err
		}
		o.addJobs(items, o.statesByJob(o.stateReread.items), o.Clock.Now())
		o.stateReread = nil
	}
	o.cancelJobs(items)
	o.plan.send()
	return nil
}

// cancelJobs applies the cancellations among the items.
func (o *poolOwnership) cancelJobs(items []store.Item) {
	for _, item := range items {
		if id, ok := poolstore.ParseCancel(o.service, item.Key); ok {
			o.pool.CancelJob(id, item.Revision)
		}
	}
}

// maxRereadAge is the age from which states that were read are not used any more: they may
// name a job as unfinished that has ended since. It is well below the time for which a pool
// remembers ended jobs.
const maxRereadAge = time.Minute

func (o *poolOwnership) applyWork(events []store.Event) {
	for _, e := range events {
		if o.replacedBy(e.Item) {
			return
		}
		if !e.Deleted {
			o.applyAccepted(e)
		}
	}
	o.plan.send()
}

// ownsAll reports whether all jobs among the items were accepted under this owner or
// earlier ones; if not, it ends the ownership.
func (o *poolOwnership) ownsAll(items []store.Item) bool {
	return !slices.ContainsFunc(items, o.replacedBy)
}

// replacedBy reports whether the item records a later owner, and ends the ownership if
// so. This owner must not start jobs that were accepted under the later one, which does
// not expect tasks of them to run.
func (o *poolOwnership) replacedBy(item store.Item) bool {
	if item.Key != poolstore.OwnerChangeKey(o.service) || item.Revision <= o.token {
		return false
	}
	o.lose("a record among the pool's jobs names a later owner")
	return true
}

// applyAccepted applies an accepted job or cancellation.
func (o *poolOwnership) applyAccepted(e store.Event) {
	if id, ok := poolstore.ParseJob(o.service, e.Key); ok {
		o.addJob(id, e.Item, store.Item{}, o.Clock.Now())
	}
	if id, ok := poolstore.ParseCancel(o.service, e.Key); ok {
		o.pool.CancelJob(id, e.Revision)
	}
}

// watchWorkersOfPool keeps the pool's workers and the requests to the pool up to date,
// and one poller running for each worker, until the ownership ends.
func (o *poolOwnership) watchWorkersOfPool() {
	for {
		all, changed := o.workers.Watch()
		requests, requestsChanged := o.requests.Watch()
		fleet, fleetChanged := o.fleet.Watch()
		if all != nil && requests.known {
			o.applyWorkers(all, requests, fleet)
		}
		select {
		case <-o.ctx.Done():
			return
		case <-changed:
		case <-requestsChanged:
		case <-fleetChanged:
		}
	}
}

// applyWorkers passes the pool its workers and what the machine controller requests.
func (o *poolOwnership) applyWorkers(all map[string]scheduler.WorkerInfo, requests requestView, fleet fleetView) {
	var own []scheduler.WorkerInfo
	for _, w := range all {
		if w.Service == o.service {
			own = append(own, w)
		}
	}
	o.pool.SetMachinesToEmpty(requests.machines(o.service), requests.emptied())
	listed := o.pool.SetWorkers(own, o.Clock.Now())
	o.pool.SetShare(fleet.ownMachines[o.service], requests.recalls[o.service])
	o.rosterChanged.send()
	o.startPollers(listed)
	o.plan.send()
}

// startPollers starts the pollers of workers that are newly listed. One of a former incarnation
// may be idle: it is woken.
func (o *poolOwnership) startPollers(workers []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range workers {
		if p := o.pollers[id]; p != nil {
			p.kick.send()
			continue
		}
		p := &poller{poolOwnership: o, worker: id, kick: newSignal()}
		o.pollers[id] = p
		o.spawn(p.run)
	}
}

// kick wakes the poller of a worker, if there is one.
func (o *poolOwnership) kick(worker string) {
	if p := o.poller(worker); p != nil {
		p.kick.send()
	}
}

// endWait has the poller of a worker, if there is one, poll it without a wait.
func (o *poolOwnership) endWait(worker string) {
	if p := o.poller(worker); p != nil && o.timing.Scheduler.LeastTimeout > 0 {
		p.endWait()
	}
}

// kickAll wakes all pollers.
func (o *poolOwnership) kickAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pollers {
		p.kick.send()
	}
}

// poller returns the poller of a worker, or nil.
func (o *poolOwnership) poller(worker string) *poller {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pollers[worker]
}
