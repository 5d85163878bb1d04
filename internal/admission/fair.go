package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Fair orders by weight in virtual time, first among the classes and then
// among a class's teams. Work is measured in seconds of a slot: each request is
// charged its team's mean service time when it starts, and the charge is
// corrected when it ends, so that declared sizes count for nothing.
type Fair struct {
	shares  Shares
	limits  Limits
	classes float64 // sum of the weights of the classes
	teams   float64 // and of the configured teams
	bands   [fleet.ClassCount]band
	virtual float64 // virtual time among the classes
	service Estimate
	count   int
	slots   int       // requests that can be at work at once
	even    int       // and if every entry had as many
	at      time.Time // of the latest refresh
}

var _ Order = (*Fair)(nil)

// initialService is taken for the service time before one was measured.
const initialService = 10 * time.Millisecond

// NewFair returns an order in which nothing waits.
func NewFair(shares Shares, limits Limits) *Fair {
	f := &Fair{limits: limits}
	for c := range f.bands {
		f.bands[c].flows = make(map[string]*flow)
	}
	f.Reweigh(shares)
	f.reserve(0)
	return f
}

func (f *Fair) flow(class fleet.Class, team string) *flow {
	b := &f.bands[class]
	found, ok := b.flows[team]
	if !ok {
		found = &flow{weight: f.shares.team(team), place: unplaced}
		found.limit = b.limit
		b.flows[team] = found
	}
	return found
}

// Start implements Order.
func (f *Fair) Start(class fleet.Class, team string, forced bool) (time.Duration, bool) {
	of, b := f.flow(class, team), &f.bands[class]
	if !forced && !(b.mayStart() && of.mayStart()) {
		return 0, false
	}
	f.ask(b, of)
	return f.charge(class, of), true
}

// ask notes that one more request of the team came.
func (f *Fair) ask(b *band, of *flow) {
	cost := of.service.Or(f.service.Or(initialService)).Seconds()
	of.asked += cost
	b.asked += cost
}

func (f *Fair) charge(class fleet.Class, of *flow) time.Duration {
	cost := of.service.Or(f.service.Or(initialService))
	b := &f.bands[class]
	start := max(b.tag, f.virtual)
	f.virtual = start
	b.tag = start + cost.Seconds()/b.weight
	b.charge(of, cost.Seconds())
	b.inUse++
	of.inUse++
	b.settle(of)
	return cost
}

// Finish implements Order.
func (f *Fair) Finish(class fleet.Class, team string, charge, took time.Duration) {
	of, b := f.flow(class, team), &f.bands[class]
	b.inUse--
	of.inUse--
	more := (took - charge).Seconds()
	b.tag += more / b.weight
	of.tag += more / of.weight
	b.settle(of)
	of.service.Add(took)
	f.service.Add(took)
}

// Alone implements Order.
func (f *Fair) Alone(t *Ticket) bool {
	if f.count == 0 {
		return true
	}
	_, of := f.first()
	return of == nil && f.flow(t.Class, t.Team).count == 0
}

// Next implements Order.
func (f *Fair) Next(now time.Time) (*Ticket, time.Duration) {
	for f.count > 0 {
		class, of := f.first()
		if of == nil {
			return nil, 0
		}
		b, t := &f.bands[class], of.first
		f.remove(b, of, t)
		if late(t, now) {
			t.Receiver.Shed()
			continue
		}
		return t, f.charge(class, of)
	}
	return nil, 0
}

// first returns the class with the least tag of those that may start a
// request, and the team in it; nil when none may.
func (f *Fair) first() (class fleet.Class, of *flow) {
	for _, c := range [...]fleet.Class{fleet.Urgent, fleet.Normal, fleet.Background} {
		b := &f.bands[c]
		if b.count == 0 || !b.mayStart() || of != nil && b.tag >= f.bands[class].tag {
			continue
		}
		if candidate := b.first(); candidate != nil {
			class, of = c, candidate
		}
	}
	return class, of
}

// Withdraw implements Order.
func (f *Fair) Withdraw(t *Ticket) {
	if t.queued {
		f.remove(&f.bands[t.Class], f.flow(t.Class, t.Team), t)
	}
}

func (f *Fair) remove(b *band, of *flow, t *Ticket) {
	of.remove(t)
	if of.count == 0 {
		b.leave(of)
	}
	b.count--
	b.bytes -= t.Bytes
	f.count--
}

// Needs implements Order.
func (f *Fair) Needs() float64 {
	sum := 0.0
	for c := range f.bands {
		sum += f.bands[c].need
	}
	return sum
}

// Len implements Order.
func (f *Fair) Len() int { return f.count }
