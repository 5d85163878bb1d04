package poolmanager

import (
	"context"
	"slices"
	"time"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upkeep"
)

// arrivalDelay is how long a machine that has arrived in a pool still counts as in
// transit: by then the pool has polled its worker and updated the need that it
// reports.
const arrivalDelay = 600 * time.Millisecond

// watchReports keeps the pools' needs and offers up to date with the store until the
// ownership ends.
func (c *machineController) watchReports() {
	reset := func(_ context.Context, items []store.Item) error {
		next := newReportView()
		next.known = true
		for _, item := range items {
			c.applyReport(&next, store.Event{Item: item})
		}
		c.reports.Update(func(reportView) (reportView, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		c.reports.Update(func(old reportView) (reportView, bool) {
			next := old.clone()
			for _, e := range events {
				c.applyReport(&next, e)
			}
			return next, true
		})
	}
	c.newWatcher(poolstore.ReportPrefix, reset, apply).run(c.ctx, 0)
}

func (c *machineController) applyReport(v *reportView, e store.Event) {
	if err := v.apply(e); err != nil {
		c.invalid.logOnce(c.log, "report of a pool not understood, skipped", &e.Item, err)
	}
}

// lend moves machines to the pools that need them.
func (c *machineController) lend(ctx context.Context, machines map[string]upkeep.Machine) error {
	view := c.reports.Get()
	if err := c.updateInTransit(ctx, machines, view); err != nil {
		return err
	}
	if err := c.dropStaleClaims(ctx, machines, view); err != nil {
		return err
	}
	recent := c.recentlyOrdered()
	moves := c.unfinishedMoves(machines, view, recent)
	deferrable := c.upkeepDeferrable(machines)
	steps := lending.Plan(&lending.Snapshot{
		Needs: view.needs, Kinds: view.kinds, OwnMachines: c.fleet.Get().ownMachines, Offers: view.offers, Machines: machines, Standby: c.standby(),
		InTransit: c.targets(), UpkeepPending: c.upkeepPending(deferrable), UpkeepDeferrable: deferrable, RecentlyOrdered: recent,
	})
	if err := c.writeRecalls(ctx, steps.Recalls); err != nil {
		return err
	}
	c.moveAll(ctx, moves, machines)
	for batch := range slices.Chunk(steps.Moves, maxClaimsPerTxn) {
		claimed, err := c.claim(ctx, batch, machines, view)
		if err != nil {
			return err
		}
		c.moveAll(ctx, claimed, machines)
	}
	return nil
}

// maxClaimsPerTxn is how many moves one transaction claims: each takes a condition
// and a write, beside the condition on the ownership.
const maxClaimsPerTxn = (store.MaxTxnEntries - 1) / 2

// updateInTransit records which machines have arrived in their new pool. It deletes a
// machine's offer once ControllerPause has passed since the order, as a next machine
// controller need not know of the order then, and no copy of the order may be carried out
// any more: until then, the machine cannot be offered again.
func (c *machineController) updateInTransit(ctx context.Context, machines map[string]upkeep.Machine, view reportView) error {
	now := c.Clock.Now()
	var over []string
	for id, transit := range c.inTransit {
		m, listed := machines[id]
		arrived := !listed || (m.Pool == transit.target && m.State != upkeep.Moving)
		if arrived && transit.arrived.IsZero() {
			transit.arrived = now
		}
		if transit.arrived.IsZero() || now.Sub(transit.arrived) < arrivalDelay {
			continue
		}
		transit.joined = true
		if now.Sub(transit.ordered) >= c.timing.ControllerPause && !c.mayMoveLate(id) {
			over = append(over, id)
		}
	}
	for batch := range slices.Chunk(over, maxClaimsPerTxn) {
		if err := c.deleteClaims(ctx, batch, view); err != nil {
			return err
		}
	}
	return nil
}

// deleteClaims deletes the claims of machines whose moves are over.
func (c *machineController) deleteClaims(ctx context.Context, machines []string, view reportView) error {
	var txn store.Txn
	for _, id := range machines {
		if view.revisions[id] != 0 {
			view.deleteClaim(&txn, id)
		}
		delete(c.inTransit, id)
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err := c.commitAsOwner(ctx, txn)
	return err
}

// unfinishedMoves returns the moves that this machine controller or an earlier one
// has claimed and whose order has to be sent again.
func (c *machineController) unfinishedMoves(machines map[string]upkeep.Machine, view reportView, recent map[string]bool) []lending.Move {
	var moves []lending.Move
	for id, offer := range view.offers {
		m, listed := machines[id]
		switch {
		case offer.Target == "":
		case !listed || m.Pool == offer.Target || m.State == upkeep.Moving:
			if c.inTransit[id] == nil {
				c.inTransit[id] = &inTransit{target: offer.Target, ordered: c.Clock.Now()}
			}
		case isStaleClaim(offer, &m):
		case m.State == upkeep.Up && !recent[id] && !c.upkeepOrdered(id):
			moves = append(moves, lending.Move{Machine: id, Target: offer.Target})
		}
	}
	return moves
}

// claim claims the offered machines of the planned moves, so that their pools can no
// longer withdraw the offers, and a next machine controller knows of the orders. It
// returns the moves that may be ordered: none if an offer has changed meanwhile.
func (c *machineController) claim(ctx context.Context, moves []lending.Move, machines map[string]upkeep.Machine, view reportView) ([]lending.Move, error) {
	txn := c.guardedTxn()
	var claimed []lending.Move
	for _, m := range moves {
		value, err := poolstore.EncodeOffer(lending.Offer{Pool: machines[m.Machine].Pool, Target: m.Target, TakenAt: c.Clock.Now()})
		if err != nil {
			return nil, err
		}
		key := poolstore.OfferKey(m.Machine)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: view.revisions[m.Machine]})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
		claimed = append(claimed, m)
	}
	if len(claimed) == 0 {
		return nil, nil
	}
	_, err := c.Store.Commit(ctx, txn)
	if problem.Is(err, problem.Conflict) {
		c.log.Info("machines not claimed for moves, as an offer was withdrawn", telemetry.ProblemFields(err)...)
		return nil, nil // the watch updates the view soon
	}
	return claimed, err
}

// targets returns the pool that each machine in transit moves to.
func (c *machineController) targets() map[string]string {
	targets := make(map[string]string, len(c.inTransit))
	for id, transit := range c.inTransit {
		if !transit.joined {
			targets[id] = transit.target
		}
	}
	return targets
}

// standby returns the pools whose machines are switched off.
func (c *machineController) standby() map[string]bool {
	pools := make(map[string]bool)
	if config := c.config.Get(); config != nil {
		for i := range config.Pools {
			if config.Pools[i].Standby {
				pools[config.Pools[i].Service] = true
			}
		}
	}
	return pools
}

// upkeepPending returns the machines that wait for upkeep and must not be moved into
// a pool before it.
func (c *machineController) upkeepPending(deferrable map[string]bool) map[string]bool {
	pending := make(map[string]bool)
	for m := range c.requests.Get().empty {
		pending[m] = true
	}
	for _, w := range c.waves.Get().waves {
		for _, m := range w.Machines {
			if !deferrable[m] && !c.reportedDone[w.Number] && !c.progress[w.Number].Done[m] {
				pending[m] = true
			}
		}
	}
	return pending
}

// upkeepOrdered reports whether the machine's upkeep in a wave was ordered and is not known
// to be over. An order without an answer may be carried out at any time until then.
func (c *machineController) upkeepOrdered(machine string) bool {
	for _, w := range c.waves.Get().waves {
		p := c.progress[w.Number]
		if _, ordered := p.Ordered[machine]; ordered && !p.Done[machine] {
			return true
		}
	}
	return false
}

// upkeepDeferrable returns the machines on standby whose upkeep can wait: the wave
// leaves enough time to empty them again after a pool has used them.
func (c *machineController) upkeepDeferrable(machines map[string]upkeep.Machine) map[string]bool {
	deferrable := make(map[string]bool)
	for _, w := range c.waves.Get().waves {
		p, known := c.progress[w.Number]
		if !known || c.reportedDone[w.Number] || !w.CanWait(&p, c.Clock.Now()) {
			continue
		}
		for _, m := range w.Machines {
			if _, ordered := p.Ordered[m]; !ordered && machines[m].Worker == "" {
				deferrable[m] = true
			}
		}
	}
	return deferrable
}
