package admission

import "time"

// Refresh implements Order.
func (f *Fair) Refresh(slots, even int, now time.Time) {
	f.expire(now)
	f.slots, f.evenSlots = slots, even
	f.reserve(now.Sub(f.refreshedAt))
	f.refreshedAt = now
}

// reserve reserves for each class, and in it for each team, as many slots as it
// has used recently, within its guaranteed share. Only the rest is lent.
func (f *Fair) reserve(elapsed time.Duration) {
	all, weights, sum := float64(max(f.slots, 1)), f.classWeights, 0.0
	for c := range f.queues {
		q := &f.queues[c]
		q.sample(q.count)
		q.measure(elapsed)
		q.usage.reserve(max(all, float64(f.evenSlots)) * q.weight / weights)
		sum += q.reserved
	}
	for c := range f.queues {
		q := &f.queues[c]
		q.bound(all*q.weight/weights, all, sum)
		q.divide(elapsed)
	}
}

// expire sheds all tickets that can no longer be answered before their deadline.
func (f *Fair) expire(now time.Time) {
	for c := range f.queues {
		q := &f.queues[c]
		for i := len(q.waiting) - 1; i >= 0; i-- {
			f.expireFlow(q, q.waiting[i], now)
		}
	}
}

func (f *Fair) expireFlow(q *classQueue, fl *flow, now time.Time) {
	service := f.serviceTime(fl)
	for t := fl.first; t != nil; {
		next := t.next
		if t.TooLate(now, service) {
			f.remove(q, fl, t)
			t.Receiver.Shed()
		}
		t = next
	}
}
