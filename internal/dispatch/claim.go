package dispatch

import (
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// claim sets how many slots of each upstream this entry says that it needs, and
// returns how many upstreams can receive new work. The need is spread evenly
// over these. While they have lent fewer in all than are needed, some homes
// cannot lend, and what is short is asked of each; while they have lent more,
// less is claimed, so that entries which are short come first.
func (s *service) claim(self membership.EntryID, now time.Time) int {
	fit, held := s.fit(now)
	needed := s.order.Needs()
	short := ceilDiv(int(needed)-held, fit)
	even := max(needed-max(float64(held)-needed, 0), 0) / float64(max(fit, 1))
	for _, u := range s.upstreams {
		u.need = 0
		if !u.fit(now) {
			continue
		}
		u.need = int(even + slots.Fraction(u.instance.ID, self))
		if short > 0 {
			u.need = max(u.need, u.holding.Held+short)
		}
		u.need = min(u.need, s.capacity)
	}
	return fit
}

// fit returns how many upstreams can receive new work now, and how many of
// their slots this entry holds.
func (s *service) fit(now time.Time) (upstreams, held int) {
	for _, u := range s.upstreams {
		if u.fit(now) {
			upstreams++
			held += u.holding.Held
		}
	}
	return upstreams, held
}

// wanted is how many more slots of each of fit upstreams could be used now.
func (s *service) wanted(fit int) int {
	return min(ceilDiv(s.order.Len()+len(s.retries), fit), s.capacity)
}

// ceilDiv divides a by b and rounds up. It returns zero when either is not
// positive.
func ceilDiv(a, b int) int {
	if a <= 0 || b <= 0 {
		return 0
	}
	return (a + b - 1) / b
}
