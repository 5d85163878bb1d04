package poolmanager

import (
	"context"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

// isStaleClaim reports whether the machine is neither in the pool from which it was
// claimed nor in the one for which: the claim's write was applied late, after another
// move.
func isStaleClaim(offer lending.Offer, m *upkeep.Machine) bool {
	return offer.Target != "" && m.State == upkeep.Up && m.Pool != offer.Pool && m.Pool != offer.Target
}

// dropStaleClaims deletes stale claims, so that their machines can be offered again.
func (c *machineController) dropStaleClaims(ctx context.Context, machines map[string]upkeep.Machine, view reportView) error {
	var txn store.Txn
	for id, offer := range view.offers {
		m, listed := machines[id]
		if !listed || !isStaleClaim(offer, &m) || len(txn.Deletes) == maxClaimsPerTxn {
			continue
		}
		view.deleteClaim(&txn, id)
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err := c.commitAsOwner(ctx, txn)
	return err
}
