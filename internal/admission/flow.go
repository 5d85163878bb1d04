package admission

import "time"

// flow is the waiting work of one team in one class, first come first served.
type flow struct {
	usage
	weight      float64
	tag         float64 // virtual start time of the next request, in seconds
	service     Estimate
	first, last *Ticket
	place       int    // among the ready flows of its class, or unplaced
	index       int    // among the waiting ones
	joined      uint64 // order in which it began to wait
	count       int
	bytes       int
}

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

// latestStart is when t must start to be answered before its deadline, judged
// from the service times measured so far.
func latestStart(t *Ticket, now time.Time, service time.Duration) time.Time {
	left := t.Deadline.Sub(now)
	return t.Deadline.Add(-min(serviceMargin*service, left/serviceMargin))
}

// serviceMargin is how many mean service times a request is given to end in.
// Never more than half of the time left is set aside.
const serviceMargin = 2
