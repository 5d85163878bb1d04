package poolmanager

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upkeep"
)

// arrivalTime is how long a machine that has joined a pool still counts as on
// its way: until the pool has polled it and says anew what it needs.
const arrivalTime = 600 * time.Millisecond

// watchReports keeps up with what pools need and offer.
func (d *machineController) watchReports() {
	reset := func(_ context.Context, items []store.Item) error {
		next := newReportView()
		next.known = true
		for _, item := range items {
			d.applyReport(&next, store.Event{Item: item})
		}
		d.view.Update(func(reportView) (reportView, bool) { return next, true })
		return nil
	}
	apply := func(events []store.Event) {
		d.view.Update(func(old reportView) (reportView, bool) {
			next := old.clone()
			for _, e := range events {
				d.applyReport(&next, e)
			}
			return next, true
		})
	}
	d.newWatcher(poolstore.ReportPrefix, reset, apply).run(d.ctx, 0)
}

func (d *machineController) applyReport(v *reportView, e store.Event) {
	if err := v.apply(e); err != nil {
		d.invalid.logOnce(d.log, "entry of a pool not understood", &e.Item, err)
	}
}

// lend moves machines to where they are needed.
func (d *machineController) lend(ctx context.Context, machines map[string]upkeep.Machine) error {
	view := d.view.Get()
	if err := d.arrive(ctx, machines, view); err != nil {
		return err
	}
	if err := d.dropStale(ctx, machines, view); err != nil {
		return err
	}
	recent := d.recentlyOrdered()
	moves := d.unfinished(machines, view, recent)
	due := d.upkeepDeferrable(machines)
	steps := lending.Plan(&lending.Snapshot{
		Needs: view.needs, Home: d.fleet.Get().home, Offers: view.offers, Machines: machines, Standby: d.standby(),
		InTransit: d.targets(), UpkeepPending: d.upkeepPending(due), UpkeepDeferrable: due, RecentlyOrdered: recent,
	})
	if err := d.writeRecalls(ctx, steps.Recalls); err != nil {
		return err
	}
	d.moveAll(ctx, moves, machines)
	for batch := range slices.Chunk(steps.Moves, claimsAtOnce) {
		taken, err := d.take(ctx, batch, machines, view)
		if err != nil {
			return err
		}
		d.moveAll(ctx, taken, machines)
	}
	return nil
}

// claimsAtOnce is how many moves one transaction claims: each takes a condition
// and a write.
const claimsAtOnce = (store.MaxTxnEntries - 1) / 2

// writeRecalls tells pools how many machines they have to give up.
func (d *machineController) writeRecalls(ctx context.Context, recalls map[string]int) error {
	var txn store.Txn
	var keys []string
	told := make(map[string]int)
	for pool := range d.fleet.Get().home {
		// What the last holder has recalled is not known: it is told anew.
		if last, known := d.recalls[pool]; known && last == recalls[pool] || len(keys) == claimsAtOnce {
			continue
		}
		delete(d.recalls, pool) // until the store has answered
		told[pool] = recalls[pool]
		keys = append(keys, poolstore.RecallKey(pool))
		txn.Writes = append(txn.Writes, store.Write{Key: poolstore.RecallKey(pool), Value: []byte(strconv.Itoa(recalls[pool]))})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	if _, err := d.commitOwn(ctx, txn, keys...); err != nil {
		return err
	}
	maps.Copy(d.recalls, told)
	return nil
}

// arrive takes in which machines have joined their new pool. Their records go
// once no next holder needs to know of the order any more.
func (d *machineController) arrive(ctx context.Context, machines map[string]upkeep.Machine, view reportView) error {
	now := d.Clock.Now()
	var txn store.Txn
	for id, way := range d.inTransit {
		m, listed := machines[id]
		there := !listed || (m.Pool == way.target && m.State != upkeep.Moving)
		if there && way.arrived.IsZero() {
			way.arrived = now
		}
		if way.arrived.IsZero() || now.Sub(way.arrived) < arrivalTime {
			continue
		}
		way.joined = true
		if now.Sub(way.ordered) < d.timing.ControllerPause || txn.Entries() == store.MaxTxnEntries-1 {
			continue
		}
		if view.revisions[id] != 0 {
			txn.Deletes = append(txn.Deletes, poolstore.OfferKey(id))
		}
		delete(d.inTransit, id)
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err := d.commitOwn(ctx, txn)
	return err
}

// unfinished returns moves that were begun, by this holder or an earlier one,
// and whose order has to be repeated.
func (d *machineController) unfinished(machines map[string]upkeep.Machine, view reportView, recent map[string]bool) []lending.Move {
	var moves []lending.Move
	for id, offer := range view.offers {
		m, listed := machines[id]
		switch {
		case offer.Target == "":
		case !listed || m.Pool == offer.Target || m.State == upkeep.Moving:
			if d.inTransit[id] == nil {
				d.inTransit[id] = &inTransit{target: offer.Target, ordered: d.Clock.Now()}
			}
		case stale(offer, &m):
		case m.State == upkeep.Up && !recent[id]:
			moves = append(moves, lending.Move{Machine: id, Target: offer.Target})
		}
	}
	return moves
}

// take claims the machines of the planned moves, so that their pools can no
// longer take them back and the next holder knows of the orders. It returns the
// moves that may be ordered.
func (d *machineController) take(ctx context.Context, moves []lending.Move, machines map[string]upkeep.Machine, view reportView) ([]lending.Move, error) {
	txn := d.guardedTxn()
	var claimed []lending.Move
	for _, m := range moves {
		value, err := poolstore.EncodeOffer(lending.Offer{Pool: machines[m.Machine].Pool, Target: m.Target, TakenAt: d.Clock.Now()})
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
	_, err := d.Store.Commit(ctx, txn)
	if problem.Is(err, problem.Conflict) {
		d.log.Info("an offer was taken back", telemetry.ProblemFields(err)...)
		return nil, nil // the view shows it soon
	}
	return claimed, err
}

func (d *machineController) targets() map[string]string {
	targets := make(map[string]string, len(d.inTransit))
	for id, way := range d.inTransit {
		if !way.joined {
			targets[id] = way.target
		}
	}
	return targets
}

// standby returns the pools whose machines are off.
func (d *machineController) standby() map[string]bool {
	pools := make(map[string]bool)
	if config := d.config.Get(); config != nil {
		for i := range config.Pools {
			if config.Pools[i].Standby {
				pools[config.Pools[i].Service] = true
			}
		}
	}
	return pools
}

// upkeepPending returns the machines that wait for their upkeep and that no pool
// may get before.
func (d *machineController) upkeepPending(due map[string]bool) map[string]bool {
	asked := make(map[string]bool)
	for m := range d.requests.Get().empty {
		asked[m] = true
	}
	for _, w := range d.waves.Get().waves {
		for _, m := range w.Machines {
			if !due[m] && !d.reportedDone[w.Number] && !d.progress[w.Number].Done[m] {
				asked[m] = true
			}
		}
	}
	return asked
}

// upkeepDeferrable returns the machines on standby whose upkeep can wait: there is
// time enough left to empty them again after a pool has used them.
func (d *machineController) upkeepDeferrable(machines map[string]upkeep.Machine) map[string]bool {
	due := make(map[string]bool)
	for _, w := range d.waves.Get().waves {
		p, known := d.progress[w.Number]
		if !known || d.reportedDone[w.Number] || !w.CanWait(&p, d.Clock.Now()) {
			continue
		}
		for _, m := range w.Machines {
			if _, ordered := p.Ordered[m]; !ordered && machines[m].Worker == "" {
				due[m] = true
			}
		}
	}
	return due
}
