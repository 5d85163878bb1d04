package poolmanager

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upkeep"
)

// stepWave does all that is possible now for one wave: it records machines that are
// back, requests that machines are emptied, takes down empty ones, and writes the
// wave's status.
func (c *machineController) stepWave(ctx context.Context, w upkeep.Wave, machines map[string]upkeep.Machine) error {
	progress, err := c.loadProgress(ctx, w.Number)
	if err != nil {
		return err
	}
	if !c.reportedStarted[w.Number] {
		if err := c.writeWaveStatus(ctx, w.Number, false); err != nil {
			return err
		}
		c.reportedStarted[w.Number] = true
	}
	snapshot := upkeep.Snapshot{Wave: w, Machines: machines, Emptying: c.emptying(machines, &progress), Progress: progress}
	steps := upkeep.Plan(&snapshot)
	if err := c.recordReturned(ctx, w.Number, &progress, steps.Returned); err != nil {
		return err
	}
	if err := c.requestEmptying(ctx, w.Number, steps.Empty, machines, progress.Since.Add(w.Within-emptyingMargin)); err != nil {
		return err
	}
	if steps.Completed {
		if err := c.writeWaveStatus(ctx, w.Number, true); err != nil {
			return err
		}
		c.reportedDone[w.Number] = true
		c.log.Info("wave completed", zap.Int64("wave", w.Number))
		return nil
	}
	return c.takeDown(ctx, w.Number, &progress, steps.TakeDown, machines)
}

// loadProgress returns a wave's progress, which is read from the store once. The
// caller may change the maps in it.
func (c *machineController) loadProgress(ctx context.Context, wave int64) (upkeep.Progress, error) {
	if p, ok := c.progress[wave]; ok {
		return p, nil
	}
	key := poolstore.UpkeepKey(wave)
	limited, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout)
	defer cancel()
	item, err := c.Store.Get(limited, key)
	if problem.Is(err, problem.NotFound) {
		c.own.record(key, 0)
		p := upkeep.NewProgress()
		p.Since = c.Clock.Now()
		c.progress[wave] = p
		return p, nil
	}
	if err != nil {
		return upkeep.Progress{}, err
	}
	c.own.record(key, item.Revision)
	p, err := poolstore.DecodeUpkeep(key, item.Value)
	if err != nil {
		// The other waves go on, and this one starts again: the platform does not
		// repeat an upkeep that is done.
		c.invalid.logOnce(c.log, "progress of a wave not understood, the wave starts again", &item, err)
		p = upkeep.NewProgress()
	}
	if p.Since.IsZero() {
		p.Since = c.Clock.Now() // not understood, or stored by a version that left it out
	}
	c.progress[wave] = p
	return p, nil
}

// emptying returns the state of each request to empty a machine, as far as it still is
// about the worker that the platform lists on the machine.
func (c *machineController) emptying(machines map[string]upkeep.Machine, p *upkeep.Progress) map[string]upkeep.Emptying {
	states := make(map[string]upkeep.Emptying)
	for id, request := range c.requests.Get().empty {
		m := machines[id]
		_, ordered := p.Ordered[id]
		states[id] = request.State(&m, ordered)
	}
	return states
}

// saveProgress writes a wave's progress together with the conditions and deletes of
// txn, provided that this entry owns the role.
func (c *machineController) saveProgress(ctx context.Context, wave int64, p *upkeep.Progress, txn store.Txn) error {
	value, err := poolstore.EncodeUpkeep(p)
	if err != nil {
		return err
	}
	key := poolstore.UpkeepKey(wave)
	txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
	_, err = c.commitAsOwner(ctx, txn, key)
	return err
}

// recordReturned records machines whose upkeep is done, and deletes the requests to
// empty them, so that they receive work again.
func (c *machineController) recordReturned(ctx context.Context, wave int64, p *upkeep.Progress, back []string) error {
	for len(back) > 0 {
		n := min(len(back), store.MaxTxnEntries/2)
		var remove []string
		for _, m := range back[:n] {
			p.Done[m] = true
			remove = append(remove, poolstore.EmptyRequestKey(m))
		}
		if err := c.saveProgress(ctx, wave, p, store.Txn{Deletes: remove}); err != nil {
			for _, m := range back[:n] {
				delete(p.Done, m) // the next step tries again
			}
			return err
		}
		back = back[n:]
	}
	return nil
}

// emptyingMargin is the part of a wave's time that is reserved for the last machine
// to come back.
const emptyingMargin = 1500 * time.Millisecond

// requestEmptying requests that the machines' pools empty them. The write is conditional on
// the wave's progress, so that a delayed copy does not request a machine that is back.
func (c *machineController) requestEmptying(ctx context.Context, wave int64, ids []string, machines map[string]upkeep.Machine, by time.Time) error {
	for len(ids) > 0 {
		n := min(len(ids), store.MaxTxnEntries/2)
		var txn store.Txn
		for _, m := range ids[:n] {
			value, err := poolstore.EncodeEmptyRequest(&upkeep.EmptyRequest{Pool: machines[m].Pool, Worker: machines[m].Worker, By: by})
			if err != nil {
				return err
			}
			txn.Writes = append(txn.Writes, store.Write{Key: poolstore.EmptyRequestKey(m), Value: value})
		}
		if _, err := c.commitAsOwner(ctx, txn, poolstore.UpkeepKey(wave)); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}

// takeDown orders machines down for their upkeep, except those that an earlier machine
// controller may have ordered recently. It saves the orders in the wave's progress
// before it sends them, so that a next machine controller counts the machines as down.
func (c *machineController) takeDown(ctx context.Context, wave int64, p *upkeep.Progress, ids []string, machines map[string]upkeep.Machine) error {
	recent := c.recentlyOrdered()
	ids = slices.DeleteFunc(ids, func(m string) bool { return recent[m] })
	if len(ids) == 0 {
		return nil
	}
	var newOrders []string
	var expected []store.Expectation
	for _, m := range ids {
		if _, ordered := p.Ordered[m]; !ordered && len(newOrders) < maxOrdersPerTxn {
			expected = append(expected, store.Expectation{Key: poolstore.EmptyRequestKey(m), Revision: c.requests.Get().empty[m].revision})
			p.Ordered[m] = machines[m].Worker
			p.OrderedAt[m] = c.Clock.Now()
			newOrders = append(newOrders, m)
		}
	}
	if len(newOrders) > 0 {
		if err := c.saveProgress(ctx, wave, p, store.Txn{Expected: expected}); err != nil {
			for _, m := range newOrders {
				delete(p.Ordered, m)
				delete(p.OrderedAt, m)
			}
			return err
		}
	}
	for _, m := range ids {
		if !c.isValid() {
			return nil
		}
		if _, ordered := p.Ordered[m]; ordered {
			c.takeDownOne(ctx, wave, p, m)
		}
	}
	return nil
}

// maxOrdersPerTxn is how many new orders one transaction saves: each is conditional
// on the pool's confirmation that the machine is empty.
const maxOrdersPerTxn = store.MaxTxnEntries / 2

func (c *machineController) takeDownOne(ctx context.Context, wave int64, p *upkeep.Progress, machine string) {
	limited, cancel := context.WithTimeout(ctx, c.timing.OrderTimeout)
	defer cancel()
	err := c.Machines.Upkeep(limited, machine, wave, c.order())
	switch problem.KindOf(err) {
	case problem.NotFound:
		p.Done[machine] = true
	case problem.Conflict:
		c.log.Info("machine not taken down, trying again", append(telemetry.ProblemFields(err), zap.String("machine", machine))...)
		return
	default:
		if err != nil {
			c.log.Info("order to take a machine down not confirmed, trying again", append(telemetry.ProblemFields(err), zap.String("machine", machine))...)
			return
		}
	}
	p.Confirmed[machine] = true
	c.log.Info("machine taken down", zap.String("machine", machine), zap.Int64("wave", wave))
}

// writeWaveStatus writes a wave's state for operators.
func (c *machineController) writeWaveStatus(ctx context.Context, wave int64, completed bool) error {
	key, value, err := c.Operators.WaveStatus(wave, completed)
	if err != nil {
		return err
	}
	_, err = c.commitAsOwner(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}}, key)
	return err
}
