package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/routing"
	"persimmonbay/internal/slots"
)

// upstream is one instance of a service as this entry uses it.
type upstream struct {
	instance   fleet.Instance
	listed     bool // may receive new work
	holding    slots.Holding
	health     routing.Health
	need       int         // slots that this entry reports as needed here
	unanswered []time.Time // when the slots of requests without a whole answer become free
}

// free returns how many requests may start now. confirmed states whether the
// store's confirmation of this entry is valid; without it, only a recent
// acknowledgement by another home lets the entry use its slots.
func (u *upstream) free(now time.Time, confirmed bool) int {
	if !u.listed || !confirmed && !u.acknowledged(now) {
		return 0
	}
	return min(u.holding.Free(), u.health.MaxConcurrent(now, u.holding.Held)-u.holding.InUse)
}

// usable reports whether the upstream can receive new work.
func (u *upstream) usable(now time.Time) bool { return u.listed && !u.health.Ejected(now) }

// acknowledged reports whether a home other than this entry acknowledged a report
// of this entry within slots.AckValidity.
func (u *upstream) acknowledged(now time.Time) bool {
	return now.Sub(u.holding.Acked()) <= slots.AckValidity
}

// releaseExpired frees the slots of unanswered requests whose time has passed, so
// that they have ended on the upstream.
func (u *upstream) releaseExpired(now time.Time) {
	pending := u.unanswered[:0]
	for _, at := range u.unanswered {
		if now.Before(at) {
			pending = append(pending, at)
			continue
		}
		u.holding.Release()
	}
	u.unanswered = pending
}
