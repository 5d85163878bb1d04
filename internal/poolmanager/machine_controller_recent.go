package poolmanager

import (
	"context"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

// recentlyOrdered returns the machines that an earlier machine controller may have
// ordered less than ControllerPause ago. Orders of this one now would look to the
// platform like two machine controllers at once.
func (d *machineController) recentlyOrdered() map[string]bool {
	recent := make(map[string]bool)
	if d.Clock.Now().Sub(d.since) >= d.timing.ControllerPause {
		return recent
	}
	for m, offer := range d.view.Get().offers {
		if offer.Target != "" && d.inTransit[m] == nil {
			recent[m] = true
		}
	}
	for _, p := range d.progress {
		for m, at := range p.OrderedAt {
			// The clock of the earlier machine controller may differ: a time in
			// the future counts as recent.
			if at.Before(d.since) && d.since.Sub(at) < 2*d.timing.ControllerPause || at.After(d.Clock.Now()) {
				recent[m] = true
			}
		}
	}
	return recent
}

// saveHome writes how many machines belong to each pool: as many as the first machine
// controller found there. It does nothing if that is stored already.
func (d *machineController) saveHome(ctx context.Context, machines map[string]upkeep.Machine) error {
	view := d.fleet.Get()
	if !view.known || view.home != nil {
		return nil
	}
	home := make(map[string]int)
	for _, m := range machines {
		home[m.Pool]++
	}
	value, err := poolstore.EncodeHome(home)
	if err != nil {
		return err
	}
	txn := d.guardedTxn()
	txn.Expected = append(txn.Expected, store.Expectation{Key: poolstore.HomeKey})
	txn.Writes = []store.Write{{Key: poolstore.HomeKey, Value: value}}
	_, err = d.Store.Commit(ctx, txn)
	if problem.Is(err, problem.Conflict) {
		return nil // stored meanwhile, or the role is lost: the next write shows which
	}
	return err
}
