package maintenance

import (
	"math"

	"persimmonbay/internal/configuration"
)

// shareRounding is how far a configured share may lie below the exact one,
// since shares are rounded to three decimals.
const shareRounding = 0.0005

// Budget is a pool's availability budget: the strictest of its services'.
type Budget struct {
	Pool  string
	Share float64 // of the pool's instances that may be away at once
	Spare bool    // its instances may be lent to other pools
}

// Allowed returns how many of n instances may be away at once. Of spares it is
// half, and of spares and workers one at least.
func (b Budget) Allowed(n int) int {
	if b.Spare {
		return max(1, n/2) // the others are there to be lent
	}
	allowed := int(math.Floor(float64(n) * (b.Share + shareRounding)))
	if b.workers() {
		return max(1, allowed)
	}
	return allowed
}

// workers reports whether the pool is that of the workers, for which no other
// instance can stand in.
func (b Budget) workers() bool { return b.Pool == configuration.WorkersPool }
