package admission

import "time"

// leastRate is the least number of slots that a queue is taken to be worked off
// at.
const leastRate = 0.1

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
	classPart := b.weight / f.classes
	teamPart := classPart * of.weight / max(f.teams, of.weight)
	return float64(b.bytes+t.Bytes) > classPart*float64(f.limits.Bytes) ||
		float64(of.count+1) > max(1, teamPart*float64(f.limits.Requests))
}

// wait estimates how long a new ticket of the team waits: its queue is worked
// off at the team's share among those that wait now. Slots that this entry has
// lent come back for a team that asks for less than its share of an even part.
func (f *Fair) wait(b *band, of *flow, slots int, service time.Duration) time.Duration {
	team := f.share(b, of, slots)
	if guaranteed := f.share(b, of, f.even); !of.exceeds(guaranteed) {
		team = max(team, guaranteed)
	}
	return time.Duration(float64(of.count) * float64(service) / max(min(team, of.limit), leastRate))
}

// share is how many of the slots the team gets among those that wait now.
func (f *Fair) share(b *band, of *flow, slots int) float64 {
	weights := b.weight
	for i := range f.bands {
		if other := &f.bands[i]; other != b && other.count > 0 {
			weights += other.weight
		}
	}
	class := min(b.weight/weights*float64(slots), b.limit)
	return class * of.weight / b.waitingWeight(of)
}

func (f *Fair) push(b *band, of *flow, t *Ticket) {
	if b.count == 0 {
		b.tag = max(b.tag, f.virtual)
	}
	of.push(t)
	if of.count == 1 {
		b.join(of)
	}
	b.count++
	b.bytes += t.Bytes
	f.count++
}
