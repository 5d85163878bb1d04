package admission

import "time"

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
	all, weights, sum := float64(max(f.slots, 1)), f.classes, 0.0
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

// late reports whether nobody would wait for the answer any more.
func late(t *Ticket, now time.Time) bool {
	return !t.Deadline.IsZero() && !now.Before(t.Deadline)
}
