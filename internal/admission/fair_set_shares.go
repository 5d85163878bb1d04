package admission

import "persimmonbay/internal/fleet"

// SetShares implements Order.
func (f *Fair) SetShares(shares Shares) {
	f.shares, f.classWeights, f.teamWeights = shares, 0, 0
	for _, w := range shares.Teams {
		f.teamWeights += positive(w)
	}
	for c := range f.queues {
		q := &f.queues[c]
		q.weight = shares.class(fleet.Class(c))
		f.classWeights += q.weight
		q.setShares(&shares)
	}
}
