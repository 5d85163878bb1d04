package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Order decides which waiting ticket is next. It is not safe for concurrent
// use.
type Order interface {
	// Start charges a request that starts at once and returns the charge.
	Start(class fleet.Class, team string) time.Duration
	// Finish corrects the charge of a request that took this long.
	Finish(class fleet.Class, team string, charge, took time.Duration)
	// Offer queues t, or says why not. slots is how many requests can be at
	// work at once.
	Offer(t *Ticket, slots int, now time.Time) Verdict
	// Next removes and returns the ticket whose turn it is, charged, or nil.
	// Tickets that come too late are shed on the way.
	Next(now time.Time) (*Ticket, time.Duration)
	// Withdraw removes a ticket whose caller has gone.
	Withdraw(t *Ticket)
	// Expire sheds the tickets that come too late.
	Expire(now time.Time)
	// Reweigh puts other weights in force.
	Reweigh(shares Shares)
	// Len returns how many wait.
	Len() int
}
