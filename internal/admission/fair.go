package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Fair is a weighted fair queue in virtual time, first among the classes and then
// among a class's teams. Work is measured in slot seconds: each request is charged
// its team's mean service time when it starts, and the charge is corrected when
// it ends, so sizes declared by callers have no effect.
type Fair struct {
	shares       Shares
	limits       Limits
	classWeights float64 // sum of the weights of the classes
	teamWeights  float64 // sum of the weights of the configured teams
	queues       [fleet.ClassCount]classQueue
	virtual      float64   // virtual time among the classes, in seconds
	service      Estimate  // of all requests
	count        int       // waiting tickets
	slots        int       // requests that this entry can run concurrently
	evenSlots    int       // the same if every entry had an equal number of slots
	refreshedAt  time.Time // time of the latest refresh
}

var _ Order = (*Fair)(nil)

// defaultServiceTime is used as the service time until one was measured.
const defaultServiceTime = 10 * time.Millisecond

// NewFair returns an order without waiting tickets.
func NewFair(shares Shares, limits Limits) *Fair {
	f := &Fair{limits: limits}
	for c := range f.queues {
		f.queues[c].flows = make(map[string]*flow)
	}
	f.SetShares(shares)
	f.reserve(0)
	return f
}

// flow returns the flow of a team in a class, created on first use.
func (f *Fair) flow(class fleet.Class, team string) *flow {
	q := &f.queues[class]
	found, ok := q.flows[team]
	if !ok {
		found = &flow{weight: f.shares.team(team), readyIndex: notReady}
		found.limit = q.limit
		q.flows[team] = found
	}
	return found
}

// Start implements Order.
func (f *Fair) Start(class fleet.Class, team string, forced bool) (time.Duration, bool) {
	fl, q := f.flow(class, team), &f.queues[class]
	if !forced && !(q.mayStart() && fl.mayStart()) {
		return 0, false
	}
	f.recordDemand(q, fl)
	return f.charge(class, fl), true
}

// serviceTime returns the mean service time of the team's requests, of all requests
// while none of the team's was measured.
func (f *Fair) serviceTime(fl *flow) time.Duration {
	return fl.service.Or(f.service.Or(defaultServiceTime))
}

// recordDemand records the expected work of one more request of the team.
func (f *Fair) recordDemand(q *classQueue, fl *flow) {
	cost := f.serviceTime(fl).Seconds()
	fl.demanded += cost
	q.demanded += cost
}

// charge accounts for a request that starts and returns its expected service time.
func (f *Fair) charge(class fleet.Class, fl *flow) time.Duration {
	cost := f.serviceTime(fl)
	q := &f.queues[class]
	start := max(q.tag, f.virtual)
	f.virtual = start
	q.tag = start + cost.Seconds()/q.weight
	q.charge(fl, cost.Seconds())
	q.inUse++
	fl.inUse++
	q.updateReady(fl)
	return cost
}

// Finish implements Order.
func (f *Fair) Finish(class fleet.Class, team string, charge, took time.Duration) {
	fl, q := f.flow(class, team), &f.queues[class]
	q.inUse--
	fl.inUse--
	correction := (took - charge).Seconds()
	q.tag += correction / q.weight
	fl.tag += correction / fl.weight
	q.updateReady(fl)
	fl.service.Add(took)
	f.service.Add(took)
}

// MayStartNow implements Order.
func (f *Fair) MayStartNow(t *Ticket) bool {
	if f.count == 0 {
		return true
	}
	_, fl := f.first()
	return fl == nil && f.flow(t.Class, t.Team).count == 0
}

// Next implements Order.
func (f *Fair) Next(now time.Time) (*Ticket, time.Duration) {
	for f.count > 0 {
		class, fl := f.first()
		if fl == nil {
			return nil, 0
		}
		q, t := &f.queues[class], fl.first
		f.remove(q, fl, t)
		if t.TooLate(now, f.serviceTime(fl)) {
			t.Receiver.Shed()
			continue
		}
		return t, f.charge(class, fl)
	}
	return nil, 0
}

// first returns the class with the least tag of those that may start a request,
// and the flow in it with the least tag, or nil if none may start one.
func (f *Fair) first() (class fleet.Class, fl *flow) {
	for _, c := range [...]fleet.Class{fleet.Urgent, fleet.Normal, fleet.Background} {
		q := &f.queues[c]
		if q.count == 0 || !q.mayStart() || fl != nil && q.tag >= f.queues[class].tag {
			continue
		}
		if candidate := q.first(); candidate != nil {
			class, fl = c, candidate
		}
	}
	return class, fl
}

// Withdraw implements Order.
func (f *Fair) Withdraw(t *Ticket) {
	if t.queued {
		f.remove(&f.queues[t.Class], f.flow(t.Class, t.Team), t)
	}
}

// remove takes a ticket out of the queue.
func (f *Fair) remove(q *classQueue, fl *flow, t *Ticket) {
	fl.remove(t)
	if fl.count == 0 {
		q.leave(fl)
	}
	q.count--
	q.bytes -= t.Bytes
	f.count--
}

// NeededSlots implements Order.
func (f *Fair) NeededSlots() float64 {
	sum := 0.0
	for c := range f.queues {
		sum += f.queues[c].need
	}
	return sum
}

// Len implements Order.
func (f *Fair) Len() int { return f.count }
