package poolmanager

import (
	"context"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

// recentlyOrdered returns the machines for which an earlier machine controller may have
// sent an order a short time ago. An order by this one would look to the platform as if
// two machine controllers were active at the same time.
func (c *machineController) recentlyOrdered() map[string]bool {
	recent := make(map[string]bool)
	if c.Clock.Now().Sub(c.since) >= c.timing.ControllerPause {
		return recent
	}
	for m, offer := range c.reports.Get().offers {
		if offer.Target != "" && c.inTransit[m] == nil {
			recent[m] = true
		}
	}
	for _, p := range c.progress {
		for m := range p.Ordered {
			// The clock of the earlier machine controller may differ: a time in
			// the future counts as recent. It repeats an order until that is confirmed.
			at := p.OrderedAt[m]
			if at.Before(c.since) && (!p.Done[m] || c.since.Sub(at) < 2*c.timing.ControllerPause) || at.After(c.Clock.Now()) {
				recent[m] = true
			}
		}
	}
	return recent
}

// saveOwnMachines writes how many machines belong to each pool: as many as the first
// machine controller found there. It does nothing if that is stored already.
func (c *machineController) saveOwnMachines(ctx context.Context, machines map[string]upkeep.Machine) error {
	view := c.fleet.Get()
	if !view.known || view.ownMachines != nil {
		return nil
	}
	own := make(map[string]int)
	for _, m := range machines {
		own[m.Pool]++
	}
	value, err := poolstore.EncodeOwnMachines(own)
	if err != nil {
		return err
	}
	txn := c.guardedTxn()
	txn.Expected = append(txn.Expected, store.Expectation{Key: poolstore.OwnMachinesKey})
	txn.Writes = []store.Write{{Key: poolstore.OwnMachinesKey, Value: value}}
	_, err = c.commitOnce(ctx, txn)
	if problem.Is(err, problem.Conflict) {
		return nil // stored meanwhile, or the role is lost: the next write shows which
	}
	return err
}
