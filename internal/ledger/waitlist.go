package ledger

// waitlist holds operations in the order in which they came. Patient ones wait
// for another to ride with until they fall due. It has no lock: it belongs to
// its holder.
type waitlist struct {
	operations []*pending
	urgent     int  // operations that are not patient
	due        bool // the patient have waited long enough
	armed      bool // a timer runs that sets due
}

func (w *waitlist) add(p *pending) {
	w.operations = append(w.operations, p)
	if !p.patient() {
		w.urgent++
	}
}

// ready reports whether operations wait that may not wait longer.
func (w *waitlist) ready() bool {
	return len(w.operations) > 0 && (w.urgent > 0 || w.due)
}

// arm reports whether the holder has to start the timer that calls fallDue.
func (w *waitlist) arm() bool {
	if len(w.operations) == 0 || w.armed || w.ready() {
		return false
	}
	w.armed = true
	return true
}

func (w *waitlist) fallDue() { w.armed, w.due = false, true }

// take removes the oldest operations, of up to maxBytes together, or one.
func (w *waitlist) take(maxBytes int) []*pending {
	n, bytes := 0, 0
	for n < len(w.operations) && (n == 0 || bytes+w.operations[n].operation.Bytes() <= maxBytes) {
		bytes += w.operations[n].operation.Bytes()
		if !w.operations[n].patient() {
			w.urgent--
		}
		n++
	}
	taken := w.operations[:n:n]
	w.operations = append([]*pending(nil), w.operations[n:]...)
	w.due = false
	return taken
}

// clear removes all operations.
func (w *waitlist) clear() []*pending {
	all := w.operations
	w.operations, w.urgent, w.due = nil, 0, false
	return all
}
