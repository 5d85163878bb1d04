package routing

import (
	"math/rand/v2"
	"slices"

	"persimmonbay/internal/fleet"
)

// Pick returns the less loaded of two random candidates that are not among
// tried, or false when there is none. load tells the requests at work on an
// instance.
func Pick(candidates []fleet.Instance, tried []string, load func(id string) int) (fleet.Instance, bool) {
	open := candidates
	if len(tried) > 0 {
		open = slices.DeleteFunc(slices.Clone(candidates), func(i fleet.Instance) bool { return slices.Contains(tried, i.ID) })
	}
	if len(open) == 0 {
		return fleet.Instance{}, false
	}
	a, b := open[rand.IntN(len(open))], open[rand.IntN(len(open))]
	if load(b.ID) < load(a.ID) {
		return b, true
	}
	return a, true
}
