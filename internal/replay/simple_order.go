package replay

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
)

// simpleOrder serves requests in order of arrival; when strict, it does so within
// each class, and higher classes first. The queue has the product's length limit,
// but no request is shed on arrival for its expected wait.
type simpleOrder struct {
	strict  bool
	waiting [fleet.ClassCount][]*admission.Ticket
	count   int
}

var _ admission.Order = (*simpleOrder)(nil)

// rank returns the queue of a class.
func (o *simpleOrder) rank(c fleet.Class) int {
	if o.strict {
		return int(c)
	}
	return 0
}

// Start implements admission.Order.
func (o *simpleOrder) Start(fleet.Class, string, bool) (time.Duration, bool) { return 0, true }

// MayStartNow implements admission.Order.
func (o *simpleOrder) MayStartNow(*admission.Ticket) bool { return o.count == 0 }

// Finish implements admission.Order.
func (o *simpleOrder) Finish(fleet.Class, string, time.Duration, time.Duration) {}

// NeededSlots implements admission.Order; no team is guaranteed a share.
func (o *simpleOrder) NeededSlots() float64 { return 0 }

// SetShares implements admission.Order.
func (o *simpleOrder) SetShares(admission.Shares) {}

// Offer implements admission.Order.
func (o *simpleOrder) Offer(t *admission.Ticket, _ int, _ time.Time) admission.Verdict {
	if o.count >= admission.DefaultLimits.Requests {
		return admission.QueueFull
	}
	r := o.rank(t.Class)
	o.waiting[r] = append(o.waiting[r], t)
	o.count++
	return admission.Queue
}

// Next implements admission.Order.
func (o *simpleOrder) Next(now time.Time) (*admission.Ticket, time.Duration) {
	for r := len(o.waiting) - 1; r >= 0; r-- {
		for len(o.waiting[r]) > 0 {
			t := o.waiting[r][0]
			o.waiting[r] = o.waiting[r][1:]
			o.count--
			if now.Before(t.Deadline) {
				return t, 0
			}
			t.Receiver.Shed()
		}
	}
	return nil, 0
}

// Withdraw implements admission.Order; in a replay, no caller gives up.
func (o *simpleOrder) Withdraw(*admission.Ticket) {}

// Refresh implements admission.Order; Next sheds requests past their deadline.
func (o *simpleOrder) Refresh(int, int, time.Time) {}

// Len implements admission.Order.
func (o *simpleOrder) Len() int { return o.count }

// newOrder returns the constructor of the admission order named o.
func newOrder(o Ordering) func(admission.Shares) admission.Order {
	return func(s admission.Shares) admission.Order {
		if o == OrderFair {
			return admission.NewFair(s, admission.DefaultLimits)
		}
		return &simpleOrder{strict: o == OrderPriority}
	}
}
