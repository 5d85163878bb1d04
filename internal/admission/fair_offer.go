package admission

import "time"

// minDrainSlots is a lower bound, in slots, of the rate at which a queue is assumed
// to be served.
const minDrainSlots = 0.1

// Offer implements Order.
func (f *Fair) Offer(t *Ticket, slots int, now time.Time) Verdict {
	fl, q := f.flow(t.Class, t.Team), &f.queues[t.Class]
	f.recordDemand(q, fl)
	if f.full(q, fl, t) {
		return QueueFull
	}
	service := f.serviceTime(fl)
	if t.TooLate(now.Add(f.wait(q, fl, slots, service)), service) {
		return TooLate
	}
	f.push(q, fl, t)
	return Queue
}

// full reports whether t would exceed its class's or its team's part of the queue.
// Parts are proportional to the guaranteed shares, so an overload of one class or
// team leaves the others their room.
func (f *Fair) full(q *classQueue, fl *flow, t *Ticket) bool {
	classPart := q.weight / f.classWeights
	teamPart := classPart * fl.weight / max(f.teamWeights, fl.weight)
	return float64(q.bytes+t.Bytes) > classPart*float64(f.limits.Bytes) ||
		float64(fl.count+1) > max(1, teamPart*float64(f.limits.Requests))
}

// wait estimates how long a new ticket of the team waits if the team's queue is
// served at its share among the classes and teams that wait now. A team that
// demands less than its share of an equal part of the slots is assumed to get that
// share: slots that this entry has lent to others return for it.
func (f *Fair) wait(q *classQueue, fl *flow, slots int, service time.Duration) time.Duration {
	team := f.share(q, fl, slots)
	if guaranteed := f.share(q, fl, f.evenSlots); !fl.exceeds(guaranteed) {
		team = max(team, guaranteed)
	}
	return time.Duration(float64(fl.count) * float64(service) / max(min(team, fl.limit), minDrainSlots))
}

// share returns how many of the slots the team gets among the classes and teams
// that wait now.
func (f *Fair) share(q *classQueue, fl *flow, slots int) float64 {
	weights := q.weight
	for i := range f.queues {
		if other := &f.queues[i]; other != q && other.count > 0 {
			weights += other.weight
		}
	}
	class := min(q.weight/weights*float64(slots), q.limit)
	return class * fl.weight / q.waitingWeight(fl)
}

// push adds a ticket to the queue.
func (f *Fair) push(q *classQueue, fl *flow, t *Ticket) {
	if q.count == 0 {
		q.tag = max(q.tag, f.virtual)
	}
	fl.push(t)
	if fl.count == 1 {
		q.join(fl)
	}
	q.count++
	q.bytes += t.Bytes
	f.count++
}
