package poolmanager

import (
	"context"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

// stale reports whether the machine has left the pool from which it was claimed
// and is not in the one for which: the claim was made late, after another one.
func stale(offer lending.Offer, m *upkeep.Machine) bool {
	return offer.Target != "" && m.State == upkeep.Up && m.Pool != offer.Pool && m.Pool != offer.Target
}

// dropStale removes claims that were made late, so that their machines can be
// offered again.
func (d *machineController) dropStale(ctx context.Context, machines map[string]upkeep.Machine, view reportView) error {
	var txn store.Txn
	for id, offer := range view.offers {
		m, listed := machines[id]
		if !listed || !stale(offer, &m) || len(txn.Deletes) == claimsAtOnce {
			continue
		}
		key := poolstore.OfferKey(id)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: view.revisions[id]})
		txn.Deletes = append(txn.Deletes, key)
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err := d.commitOwn(ctx, txn)
	return err
}
