package admission

import "persimmonbay/internal/fleet"

// Reweigh implements Order.
func (f *Fair) Reweigh(shares Shares) {
	f.shares, f.classes, f.teams = shares, 0, 0
	for _, w := range shares.Teams {
		f.teams += positive(w)
	}
	for c := range f.bands {
		b := &f.bands[c]
		b.weight = shares.class(fleet.Class(c))
		f.classes += b.weight
		b.reweigh(&shares)
	}
}
