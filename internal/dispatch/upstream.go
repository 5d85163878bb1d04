package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/routing"
	"persimmonbay/internal/slots"
)

// upstream is one instance of a service as this entry uses it.
type upstream struct {
	instance fleet.Instance
	listed   bool // may receive new work
	holding  slots.Holding
	health   routing.Health
	need     int         // slots that this entry says it needs here
	unsure   []time.Time // when slots whose request broke off may be used again
}

// free returns how many requests may start now. trusted says that the store
// confirms this entry; else only a home that heard it lately vouches for the
// slots.
func (u *upstream) free(now time.Time, trusted bool) int {
	if !u.listed || !trusted && !u.acknowledged(now) {
		return 0
	}
	return min(u.holding.Free(), u.health.Bound(now, u.holding.Held)-u.holding.InUse)
}

// fit reports whether the upstream can receive new work.
func (u *upstream) fit(now time.Time) bool { return u.listed && !u.health.Ejected(now) }

// acknowledged reports whether a home other than this entry acknowledged it lately.
func (u *upstream) acknowledged(now time.Time) bool {
	return now.Sub(u.holding.Acked()) <= slots.AckValidity
}

// settle frees the slots of requests that are surely over by now.
func (u *upstream) settle(now time.Time) {
	kept := u.unsure[:0]
	for _, at := range u.unsure {
		if now.Before(at) {
			kept = append(kept, at)
			continue
		}
		u.holding.Release()
	}
	u.unsure = kept
}
