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
	bands   [fleet.ClassCount]band
	virtual float64 // virtual time among the classes
	service Estimate
	count   int
	slots   int       // requests that can be at work at once
	at      time.Time // of the latest refresh
	even    int       // and if every entry had as many
}

var _ Order = (*Fair)(nil)

// initialService is taken for the service time before one was measured.
// leastRate is the least number of slots that a queue is taken to be worked off
// at.
const leastRate = 0.1

const initialService = 10 * time.Millisecond

// NewFair returns an order in which nothing waits.
func NewFair(shares Shares, limits Limits) *Fair {
	f := &Fair{shares: shares, limits: limits}
	for _, c := range fleet.Classes() {
		f.bands[c] = band{weight: shares.class(c), flows: make(map[string]*flow)}
	}
	f.reserve(0)
	return f
}

func (f *Fair) flow(class fleet.Class, team string) *flow {
	b := &f.bands[class]
	found, ok := b.flows[team]
	if !ok {
		found = &flow{weight: f.shares.team(team)}
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

// Alone implements Order.
func (f *Fair) Alone(t *Ticket) bool {
	if f.count == 0 {
		return true
	}
	_, of := f.first()
	return of == nil && f.flow(t.Class, t.Team).count == 0
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
	of.service.Add(took)
	f.service.Add(took)
}

// Offer implements Order.
func (f *Fair) Offer(t *Ticket, slots int, now time.Time) Verdict {
	of, b := f.flow(t.Class, t.Team), &f.bands[t.Class]
	f.ask(b, of)
	if f.full(b, of, t) {
		return Full
	}
	service := of.service.Or(f.service.Or(initialService))
	if !t.Deadline.IsZero() && now.Add(f.wait(b, of, slots, service)).After(latestStart(t, now, service)) {
		return TooLate
	}
	f.push(b, of, t)
	return Queue
}

// full reports whether the class or the team has filled its part of the queue.
// Parts follow the guaranteed shares, so that a flood takes nobody else's room.
func (f *Fair) full(b *band, of *flow, t *Ticket) bool {
	classPart := b.weight / f.classWeight()
	teamPart := classPart * of.weight / f.teamWeight(of)
	return float64(b.bytes+t.Bytes) > classPart*float64(f.limits.Bytes) ||
		float64(of.count+1) > max(1, teamPart*float64(f.limits.Requests))
}

func (f *Fair) classWeight() float64 {
	sum := 0.0
	for i := range f.bands {
		sum += f.bands[i].weight
	}
	return sum
}

func (f *Fair) teamWeight(of *flow) float64 {
	sum := 0.0
	for _, w := range f.shares.Teams {
		sum += positive(w)
	}
	return max(sum, of.weight)
}

// wait estimates how long a new ticket of the team waits: its queue is worked
// off at the team's share among those that wait now.
func (f *Fair) wait(b *band, of *flow, slots int, service time.Duration) time.Duration {
	weights := b.weight
	for i := range f.bands {
		if other := &f.bands[i]; other != b && other.count > 0 {
			weights += other.weight
		}
	}
	class := min(b.weight/weights*float64(slots), b.limit)
	team := min(class*of.weight/b.waitingWeight(of), of.limit)
	return time.Duration(float64(of.count) * float64(service) / max(team, leastRate))
}

func (f *Fair) push(b *band, of *flow, t *Ticket) {
	if b.count == 0 {
		b.tag = max(b.tag, f.virtual)
	}
	if of.count == 0 {
		of.tag = max(of.tag, b.virtual)
		b.waiting = append(b.waiting, of)
	}
	of.push(t)
	b.count++
	b.bytes += t.Bytes
	f.count++
}

func (f *Fair) remove(b *band, of *flow, t *Ticket) {
	of.remove(t)
	if of.count == 0 {
		b.idle(of)
	}
	b.count--
	b.bytes -= t.Bytes
	f.count--
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

// late reports whether nobody would wait for the answer any more.
func late(t *Ticket, now time.Time) bool {
	return !t.Deadline.IsZero() && !now.Before(t.Deadline)
}

// Withdraw implements Order.
func (f *Fair) Withdraw(t *Ticket) {
	if t.queued {
		f.remove(&f.bands[t.Class], f.flow(t.Class, t.Team), t)
	}
}

// Refresh implements Order.
func (f *Fair) Refresh(slots, even int, now time.Time) {
	f.expire(now)
	f.slots, f.even = slots, even
	f.reserve(now.Sub(f.at))
	f.at = now
}

// reserve keeps for each class, and in it for each team, what it uses lately,
// within its guaranteed share. Only the rest is lent.
func (f *Fair) reserve(elapsed time.Duration) {
	all, weights, sum := float64(max(f.slots, 1)), f.classWeight(), 0.0
	for c := range f.bands {
		b := &f.bands[c]
		b.sample(b.count)
		b.measure(elapsed)
		b.usage.reserve(max(all, float64(f.even)) * b.weight / weights)
		sum += b.reserved
	}
	for c := range f.bands {
		b := &f.bands[c]
		b.bound(all*b.weight/weights, all, sum)
		b.divide(elapsed)
	}
}

func (f *Fair) expire(now time.Time) {
	for c := range f.bands {
		b := &f.bands[c]
		for i := len(b.waiting) - 1; i >= 0; i-- {
			f.expireFlow(b, b.waiting[i], now)
		}
	}
}

func (f *Fair) expireFlow(b *band, of *flow, now time.Time) {
	for t := of.first; t != nil; {
		next := t.next
		if late(t, now) {
			f.remove(b, of, t)
			t.Receiver.Shed()
		}
		t = next
	}
}

// Needs implements Order.
func (f *Fair) Needs() float64 {
	sum := 0.0
	for c := range f.bands {
		sum += f.bands[c].need
	}
	return sum
}

// Reweigh implements Order.
func (f *Fair) Reweigh(shares Shares) {
	f.shares = shares
	for c := range f.bands {
		f.bands[c].weight = shares.class(fleet.Class(c))
		for team, of := range f.bands[c].flows {
			of.weight = shares.team(team)
		}
	}
}

// Len implements Order.
func (f *Fair) Len() int { return f.count }
