package dispatch

import (
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// updateNeeds sets how many slots of each upstream this entry reports as needed,
// and returns the number of usable upstreams. The need is spread evenly over
// these. While their homes have lent fewer slots in all than are needed, some of
// the homes cannot lend, and the whole shortfall is requested from each. While
// they have lent more, the reported need is lower, so that entries with a
// shortfall are served first.
func (s *service) updateNeeds(self membership.EntryID, now time.Time) int {
	usable, held := s.usable(now)
	needed := s.order.NeededSlots()
	short := ceilDiv(int(needed)-held, usable)
	even := max(needed-max(float64(held)-needed, 0), 0) / float64(max(usable, 1))
	for _, u := range s.upstreams {
		u.need = 0
		if !u.usable(now) {
			continue
		}
		u.need = int(even + slots.Fraction(u.instance.ID, self)) // rounded so that the sum over upstreams is near the total need
		if short > 0 {
			u.need = max(u.need, u.holding.Held+short)
		}
		u.need = min(u.need, s.capacity)
	}
	return usable
}

// usable returns how many upstreams can receive new work now, and how many of
// their slots this entry holds.
func (s *service) usable(now time.Time) (upstreams, held int) {
	for _, u := range s.upstreams {
		if u.usable(now) {
			upstreams++
			held += u.holding.Held
		}
	}
	return upstreams, held
}

// wanted returns how many more slots of each upstream could be used now, given
// the number of usable upstreams.
func (s *service) wanted(usable int) int {
	return min(ceilDiv(s.order.Len()+len(s.retries), usable), s.capacity)
}

// ceilDiv returns a divided by b, rounded up, or zero when either is not
// positive.
func ceilDiv(a, b int) int {
	if a <= 0 || b <= 0 {
		return 0
	}
	return (a + b - 1) / b
}
