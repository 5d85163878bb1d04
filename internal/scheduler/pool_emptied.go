package scheduler

// MachineEmpty reports whether the pool has workers on the machine, and no task runs or
// will start on any of them.
func (p *Pool) MachineEmpty(machine string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machineEmpty(machine)
}

// ClaimEmpty reports whether a machine that is to be emptied is empty, so that the
// caller may report that. The pool speaks only for the given worker, which has to be one of
// its own: after a move, workers of the machine's former life may still be known. If so, no task starts there until the request to empty the
// machine is withdrawn, whichever worker runs there: a report without a response may be
// carried out at any time.
func (p *Pool) ClaimEmpty(machine, worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[worker]; w == nil || w.info.Machine != machine {
		return false
	}
	if _, requested := p.toEmpty[machine]; !requested || !p.machineEmpty(machine) {
		return false
	}
	p.emptyClaims[machine] = true
	return true
}

func (p *Pool) machineEmpty(machine string) bool {
	found := false
	for _, w := range p.workers {
		if w.info.Machine != machine {
			continue
		}
		if !w.vacating() || !w.idle() {
			return false
		}
		found = true
	}
	return found
}

// dropEmptyClaims drops the claims of machines that are not to be emptied any more. A
// report of them is conditional on the request that was withdrawn, so it is not carried out.
func (p *Pool) dropEmptyClaims() {
	for machine := range p.emptyClaims {
		if _, requested := p.toEmpty[machine]; !requested {
			delete(p.emptyClaims, machine)
		}
	}
}
