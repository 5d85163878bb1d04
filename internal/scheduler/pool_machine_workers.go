package scheduler

import "time"

// HasSilentWorkers reports whether some workers do not answer and may run tasks. The
// platform's list of the worker on each machine can show that they have ended.
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
	return p.hasLostOpenStarts()
}

// SetMachineWorkers applies the platform's list of the worker that runs on each
// machine; the empty ID means none. The runs of a silent worker have ended if its
// machine runs another worker or none. The list was requested at requestedAt: it is not
// applied to workers that were first listed or have answered since, because another
// incarnation may have started under the same name.
func (p *Pool) SetMachineWorkers(workers map[string]string, requestedAt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.awaited {
		if current, listed := workers[a.machine]; listed && current != id && p.workers[id] == nil && p.takenAt.Before(requestedAt) {
			delete(p.awaited, id)
		}
	}
	p.closeOpenStartsOn(requestedAt, func(s *openStart) bool {
		current, listed := workers[s.machine]
		if current == "" { // its next incarnation may still begin and carry the start out
			return listed && s.until.Before(requestedAt)
		}
		return current != s.worker
	})
	for id, w := range p.workers {
		if current, listed := workers[w.info.Machine]; listed && current != id && w.silent && !w.lost && w.listedAt.Before(requestedAt) && w.clock.readAt.Before(requestedAt) {
			p.addEvent(Event{Kind: MachineReassigned, Worker: id}, now)
			p.markSuperseded(w)
		}
	}
}
