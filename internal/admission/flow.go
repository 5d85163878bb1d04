package admission

// flow is the waiting requests of one team in one class, in order of arrival.
type flow struct {
	usage
	weight       float64
	tag          float64 // start tag: virtual start time of the next request, in seconds
	service      Estimate
	first, last  *Ticket
	readyIndex   int    // index among the ready flows of its class, or notReady
	waitingIndex int    // index among the waiting flows of its class
	joined       uint64 // increases with each flow of the class that begins to wait
	count        int    // waiting tickets
	bytes        int    // sum of the sizes of their bodies
}

// push appends a ticket.
func (f *flow) push(t *Ticket) {
	t.previous, t.next, t.queued = f.last, nil, true
	if f.last == nil {
		f.first = t
	} else {
		f.last.next = t
	}
	f.last = t
	f.count++
	f.bytes += t.Bytes
}

// remove takes a ticket out, wherever it is in the queue.
func (f *flow) remove(t *Ticket) {
	if t.previous == nil {
		f.first = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		f.last = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.previous, t.next, t.queued = nil, nil, false
	f.count--
	f.bytes -= t.Bytes
}
