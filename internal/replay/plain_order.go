package replay

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
)

// plainOrder is first come, first served, within each class when strict. It
// keeps the bounds of the queue but sheds nothing at the front.
type plainOrder struct {
	strict  bool
	waiting [fleet.ClassCount][]*admission.Ticket
	count   int
}

var _ admission.Order = (*plainOrder)(nil)

func (o *plainOrder) rank(c fleet.Class) int {
	if o.strict {
		return int(c)
	}
	return 0
}

// Start implements admission.Order.
func (o *plainOrder) Start(fleet.Class, string, bool) (time.Duration, bool) { return 0, true }

// Alone implements admission.Order.
func (o *plainOrder) Alone(*admission.Ticket) bool { return o.count == 0 }

// Finish implements admission.Order.
func (o *plainOrder) Finish(fleet.Class, string, time.Duration, time.Duration) {}

// Needs implements admission.Order; without shares nobody is guaranteed any.
func (o *plainOrder) Needs() float64 { return 0 }

// Reweigh implements admission.Order.
func (o *plainOrder) Reweigh(admission.Shares) {}

// Offer implements admission.Order.
func (o *plainOrder) Offer(t *admission.Ticket, _ int, _ time.Time) admission.Verdict {
	if o.count >= admission.DefaultLimits.Requests {
		return admission.Full
	}
	r := o.rank(t.Class)
	o.waiting[r] = append(o.waiting[r], t)
	o.count++
	return admission.Queue
}

// Next implements admission.Order.
func (o *plainOrder) Next(now time.Time) (*admission.Ticket, time.Duration) {
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

// Withdraw implements admission.Order; a replay's callers never leave.
func (o *plainOrder) Withdraw(*admission.Ticket) {}

// Refresh implements admission.Order; Next sheds what is late.
func (o *plainOrder) Refresh(int, int, time.Time) {}

// Len implements admission.Order.
func (o *plainOrder) Len() int { return o.count }

func newOrder(o Ordering) func(admission.Shares) admission.Order {
	return func(s admission.Shares) admission.Order {
		if o == OrderFair {
			return admission.NewFair(s, admission.DefaultLimits)
		}
		return &plainOrder{strict: o == OrderPriority}
	}
}
