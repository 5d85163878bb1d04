package maintenance

import (
	"math"

	"persimmonbay/internal/configuration"
)

// shareTolerance is how far a configured share may lie below the exact fraction
// of instances: shares are rounded to three decimals, so that 0.333 of three
// instances must still allow one.
const shareTolerance = 0.0005

// Budget is the availability budget of a pool, the strictest one of its
// services.
type Budget struct {
	Pool  string
	Share float64 // of the pool's instances that may be unavailable at once, from 0 to 1
	Spare bool    // its instances may be lent to other pools
}

// Allowed returns how many of n instances may be unavailable at once. Of spares
// it is half, and of spares and workers at least one.
func (b Budget) Allowed(n int) int {
	if b.Spare {
		return max(1, n/2) // the other half stays available for loans
	}
	allowed := int(math.Floor(float64(n) * (b.Share + shareTolerance)))
	if b.workers() {
		return max(1, allowed)
	}
	return allowed
}

// workers reports whether this is the pool of the workers. Instances of other
// pools can't replace a worker.
func (b Budget) workers() bool { return b.Pool == configuration.WorkersPool }
