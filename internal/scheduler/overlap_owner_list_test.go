package scheduler_test

import (
	"sort"
	"time"

	"persimmonbay/internal/scheduler"
)

// readList reads the platform's list of workers.
func (o *overlapOwner) readList() {
	if o.storeUnreachable {
		o.after(50*time.Millisecond, o.readList)
		return
	}
	o.listed, o.listRev = true, o.s.listRev
	for id, info := range o.s.store.workers {
		o.infos[id] = info
	}
	o.applyList()
}

// listChanged applies a change of the platform's list of workers.
func (o *overlapOwner) listChanged(id string, info scheduler.WorkerInfo, present bool, revision int64) {
	if o.ended || o.storeUnreachable || !o.listed || revision <= o.listRev {
		return
	}
	o.listRev = revision
	delete(o.infos, id)
	if present {
		o.infos[id] = info
	}
	o.trace("receives a change of the list: %s present %v incarnation %d", id, present, info.Incarnation)
	o.applyList()
}

func (o *overlapOwner) applyList() {
	var infos []scheduler.WorkerInfo
	for _, info := range o.infos {
		infos = append(infos, info)
	}
	sort.Slice(infos, func(a, b int) bool { return infos[a].ID < infos[b].ID })
	listed := o.pool.SetWorkers(infos, o.s.now)
	if !o.pool.Loading() {
		o.saveRoster()
	}
	for _, id := range listed {
		if o.pollers[id] != nil {
			o.kick(id)
			continue
		}
		o.pollers[id] = &overlapPoller{worker: id, retry: pollRetry}
		o.continuePolling(o.pollers[id])
	}
	o.kickPlan()
}

// machineWorkersLoop passes the worker that runs on each machine to the pool, while some
// of its workers do not answer.
func (o *overlapOwner) machineWorkersLoop() {
	o.after(300*time.Millisecond, func() {
		if !o.pool.HasSilentWorkers() {
			o.machineWorkersLoop()
			return
		}
		requestedAt := o.s.now
		request, reply := o.s.between(1, 10), o.s.between(1, 10)
		if o.s.faults.StaleMachineList && !o.s.noFaults {
			request, reply = o.s.between(1, 100), o.s.between(1, 800)
		}
		o.after(request, func() {
			workers := map[string]string{}
			for _, m := range o.s.machines {
				workers[m.name] = m.workerID()
			}
			o.after(reply, func() {
				o.trace("receives the workers of the machines %v as of %v ago", workers, reply)
				o.pool.SetMachineWorkers(workers, requestedAt, o.s.now)
				o.kickPlan()
				o.machineWorkersLoop()
			})
		})
	})
}
