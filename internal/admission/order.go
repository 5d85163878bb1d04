package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Order decides which waiting ticket is next. It is not safe for concurrent
// use.
type Order interface {
	// Start charges a request that starts at once and returns the charge, or
	// false when it would take what others are guaranteed. A request that is
	// forced starts in any case.
	Start(class fleet.Class, team string, forced bool) (time.Duration, bool)
	// Alone reports whether nobody who may start waits before t.
	Alone(t *Ticket) bool
	// Finish ends a started request and corrects its charge.
	Finish(class fleet.Class, team string, charge, took time.Duration)
	// Offer queues t, or says why not. slots is how many requests can be at
	// work at once.
	Offer(t *Ticket, slots int, now time.Time) Verdict
	// Next removes and returns the ticket whose turn it is, charged, or nil when
	// none may start. Tickets that come too late are shed on the way.
	Next(now time.Time) (*Ticket, time.Duration)
	// Withdraw removes a ticket whose caller has gone.
	Withdraw(t *Ticket)
	// Refresh sheds the tickets that come too late and takes over how many
	// requests can be at work at once now, and how many could be if every entry
	// had as many. It is called several times a second.
	Refresh(slots, even int, now time.Time)
	// Needs returns how many slots work within its guaranteed share could use.
	Needs() float64
	// Reweigh puts other weights in force.
	Reweigh(shares Shares)
	// Len returns how many wait.
	Len() int
}
