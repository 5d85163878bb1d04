package ledger

// waitlist holds operations in order of arrival. Operations that are not urgent
// wait until an urgent one arrives or their delay has elapsed. It has no lock:
// the lock of the queue or outbox that contains it guards it.
type waitlist struct {
	operations   []*pending
	urgent       int  // number of urgent operations
	due          bool // the delay of the waiting operations has elapsed
	timerRunning bool // a timer runs that calls delayElapsed
}

func (w *waitlist) add(p *pending) {
	w.operations = append(w.operations, p)
	if !p.mayWait() {
		w.urgent++
	}
}

// ready reports whether a batch should be taken now.
func (w *waitlist) ready() bool {
	return len(w.operations) > 0 && (w.urgent > 0 || w.due)
}

// needsTimer reports whether the caller has to start the timer that calls
// delayElapsed. When it returns true it marks the timer as running.
func (w *waitlist) needsTimer() bool {
	if len(w.operations) == 0 || w.timerRunning || w.ready() {
		return false
	}
	w.timerRunning = true
	return true
}

func (w *waitlist) delayElapsed() { w.timerRunning, w.due = false, true }

// take removes and returns the oldest operations, at least one and otherwise as
// many as fit into maxBytes.
func (w *waitlist) take(maxBytes int) []*pending {
	n, bytes := 0, 0
	for n < len(w.operations) && (n == 0 || bytes+w.operations[n].operation.Bytes() <= maxBytes) {
		bytes += w.operations[n].operation.Bytes()
		if !w.operations[n].mayWait() {
			w.urgent--
		}
		n++
	}
	taken := w.operations[:n:n]
	w.operations = append([]*pending(nil), w.operations[n:]...)
	w.due = false
	return taken
}

// clear removes and returns all operations.
func (w *waitlist) clear() []*pending {
	all := w.operations
	w.operations, w.urgent, w.due = nil, 0, false
	return all
}
