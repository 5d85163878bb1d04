package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Order decides which waiting ticket starts next. It is not safe for concurrent
// use.
type Order interface {
	// Start charges a request that starts without waiting and returns the charge,
	// or false if it would take slots that others are guaranteed. A forced request
	// starts in any case.
	Start(class fleet.Class, team string, forced bool) (time.Duration, bool)
	// MayStartNow reports whether no waiting ticket that may start precedes t.
	MayStartNow(t *Ticket) bool
	// Finish records the end of a started request and corrects its charge to the
	// time that it took.
	Finish(class fleet.Class, team string, charge, took time.Duration)
	// Offer queues t and returns Queue, or returns the reason for a refusal. slots
	// is how many requests this entry can run concurrently.
	Offer(t *Ticket, slots int, now time.Time) Verdict
	// Next removes the ticket that starts next and returns it with its charge, or
	// nil if none may start. It sheds tickets that it comes across too late for an
	// answer before their deadline.
	Next(now time.Time) (*Ticket, time.Duration)
	// Withdraw removes a ticket whose caller has given up.
	Withdraw(t *Ticket)
	// Refresh sheds tickets that are too late and updates slots, how many requests this entry
	// can run concurrently, and even, how many it could run if every entry had an
	// equal number of slots. It is called several times a second.
	Refresh(slots, even int, now time.Time)
	// NeededSlots returns how many slots requests within the guaranteed shares could
	// use.
	NeededSlots() float64
	// SetShares applies new weights.
	SetShares(shares Shares)
	// Len returns the number of waiting tickets.
	Len() int
}
