package scheduler

import "time"

// HasSilentWorkers reports whether the pool would gain from knowing which workers are
// alive: some do not answer and may hold tasks.
func (p *Pool) HasSilentWorkers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.awaited {
		if w := p.workers[id]; w == nil || w.silent {
			return true
		}
	}
	for _, w := range p.workers {
		if w.silent && !w.lost && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// SetMachineWorkers takes in which worker runs on each machine; empty: none. What ran on
// a worker that does not answer has ended when its machine runs another, or
// none. The list was asked for at askedAt, and says nothing of workers that were
// first listed or have answered since: another incarnation may have begun under the name.
func (p *Pool) SetMachineWorkers(workers map[string]string, requestedAt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.awaited {
		if current, listed := workers[a.machine]; listed && current != id && p.workers[id] == nil && p.takenAt.Before(requestedAt) {
			delete(p.awaited, id)
		}
	}
	for id, w := range p.workers {
		if current, listed := workers[w.info.Machine]; listed && current != id && w.silent && !w.lost && w.listedAt.Before(requestedAt) && w.clock.readAt.Before(requestedAt) {
			p.addEvent(Event{Kind: MachineReassigned, Worker: id}, now)
			p.supersededAtAddress(w)
		}
	}
}
