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

// stepWave carries one wave on by what can be done now.
func (d *machineController) stepWave(ctx context.Context, w upkeep.Wave, machines map[string]upkeep.Machine) error {
	progress, err := d.load(ctx, w.Number)
	if err != nil {
		return err
	}
	if !d.reportedStarted[w.Number] {
		if err := d.writeWaveStatus(ctx, w.Number, false); err != nil {
			return err
		}
		d.reportedStarted[w.Number] = true
	}
	snapshot := upkeep.Snapshot{Wave: w, Machines: machines, Emptying: d.emptying(), Progress: progress}
	steps := upkeep.Plan(&snapshot)
	if err := d.finish(ctx, w.Number, &progress, steps.Returned); err != nil {
		return err
	}
	if err := d.requestEmptying(ctx, w.Number, steps.Empty, progress.Since.Add(w.Within-emptyingMargin)); err != nil {
		return err
	}
	if steps.Completed {
		if err := d.writeWaveStatus(ctx, w.Number, true); err != nil {
			return err
		}
		d.reportedDone[w.Number] = true
		d.log.Info("wave completed", zap.Int64("wave", w.Number))
		return nil
	}
	return d.order(ctx, w.Number, &progress, steps.TakeDown, machines)
}

func (d *machineController) load(ctx context.Context, wave int64) (upkeep.Progress, error) {
	if p, ok := d.progress[wave]; ok {
		return p, nil
	}
	key := poolstore.UpkeepKey(wave)
	item, err := d.Store.Get(ctx, key)
	if problem.Is(err, problem.NotFound) {
		d.own.learn(key, 0)
		p := upkeep.NewProgress()
		p.Since = d.Clock.Now()
		d.progress[wave] = p
		return p, nil
	}
	if err != nil {
		return upkeep.Progress{}, err
	}
	d.own.learn(key, item.Revision)
	p, err := poolstore.DecodeUpkeep(key, item.Value)
	if err != nil {
		// The other waves go on, and this one begins again: an upkeep that is done
		// already is not done twice.
		d.invalid.logOnce(d.log, "progress of a wave not understood", &item, err)
		p = upkeep.NewProgress()
		p.Since = d.Clock.Now()
	}
	d.progress[wave] = p
	return p, nil
}

func (d *machineController) emptying() map[string]upkeep.Emptying {
	states := make(map[string]upkeep.Emptying)
	for machine, entry := range d.requests.Get().empty {
		states[machine] = upkeep.Requested
		if entry.emptied {
			states[machine] = upkeep.Emptied
		}
	}
	return states
}

// saveProgress writes a wave's progress with the conditions and removals of txn, as long
// as the role is ours.
func (d *machineController) saveProgress(ctx context.Context, wave int64, p *upkeep.Progress, txn store.Txn) error {
	value, err := poolstore.EncodeUpkeep(p)
	if err != nil {
		return err
	}
	key := poolstore.UpkeepKey(wave)
	txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
	_, err = d.commitOwn(ctx, txn, key)
	return err
}

// finish takes in machines that are back: they may take work again.
func (d *machineController) finish(ctx context.Context, wave int64, p *upkeep.Progress, back []string) error {
	for len(back) > 0 {
		n := min(len(back), store.MaxTxnEntries/2)
		var remove []string
		for _, m := range back[:n] {
			p.Done[m] = true
			remove = append(remove, poolstore.EmptyKey(m))
		}
		if err := d.saveProgress(ctx, wave, p, store.Txn{Deletes: remove}); err != nil {
			for _, m := range back[:n] {
				delete(p.Done, m) // given back with the next step
			}
			return err
		}
		back = back[n:]
	}
	return nil
}

// emptyingMargin is kept from a wave's time for the last machine to come back.
const emptyingMargin = 1500 * time.Millisecond

// requestEmptying has pools empty machines. It expects the wave's progress as it is, so that
// no machine is asked for late that is back by then.
func (d *machineController) requestEmptying(ctx context.Context, wave int64, machines []string, by time.Time) error {
	value, err := poolstore.EncodeEmpty(by, false)
	if err != nil {
		return err
	}
	for len(machines) > 0 {
		n := min(len(machines), store.MaxTxnEntries/2)
		var txn store.Txn
		for _, m := range machines[:n] {
			txn.Writes = append(txn.Writes, store.Write{Key: poolstore.EmptyKey(m), Value: value})
		}
		if _, err := d.commitOwn(ctx, txn, poolstore.UpkeepKey(wave)); err != nil {
			return err
		}
		machines = machines[n:]
	}
	return nil
}

// order takes machines down. The intention is kept first, so that the next
// holder counts them.
func (d *machineController) order(ctx context.Context, wave int64, p *upkeep.Progress, ids []string, machines map[string]upkeep.Machine) error {
	recent := d.recentlyOrdered()
	ids = slices.DeleteFunc(ids, func(m string) bool { return recent[m] })
	if len(ids) == 0 {
		return nil
	}
	var fresh []string
	var asked []store.Expectation
	for _, m := range ids {
		if _, ordered := p.Ordered[m]; !ordered && len(fresh) < mostOrdered {
			asked = append(asked, store.Expectation{Key: poolstore.EmptyKey(m), Revision: d.requests.Get().empty[m].revision})
			p.Ordered[m] = machines[m].Worker
			p.OrderedAt[m] = d.Clock.Now()
			fresh = append(fresh, m)
		}
	}
	if len(fresh) > 0 {
		if err := d.saveProgress(ctx, wave, p, store.Txn{Expected: asked}); err != nil {
			for _, m := range fresh {
				delete(p.Ordered, m)
				delete(p.OrderedAt, m)
			}
			return err
		}
	}
	for _, m := range ids {
		if !d.holds() {
			return nil
		}
		if _, ordered := p.Ordered[m]; ordered {
			d.orderOne(ctx, wave, p, m)
		}
	}
	return nil
}

// mostOrdered is how many machines one change can take down: each is expected to
// be empty still, as its pool said.
const mostOrdered = store.MaxTxnEntries / 2

func (d *machineController) orderOne(ctx context.Context, wave int64, p *upkeep.Progress, machine string) {
	limited, cancel := context.WithTimeout(ctx, d.timing.OrderTimeout)
	defer cancel()
	err := d.Machines.Upkeep(limited, machine, wave, MachineOrder{Controller: d.entryID, Token: d.token})
	switch problem.KindOf(err) {
	case problem.NotFound:
		p.Done[machine] = true
	case problem.Conflict:
		d.log.Info("machine not taken down yet", append(telemetry.ProblemFields(err), zap.String("machine", machine))...)
		return
	default:
		if err != nil {
			d.log.Info("upkeep not confirmed", append(telemetry.ProblemFields(err), zap.String("machine", machine))...)
			return
		}
	}
	p.Confirmed[machine] = true
	d.log.Info("machine taken down", zap.String("machine", machine), zap.Int64("wave", wave))
}

// writeWaveStatus writes a wave's state for operators.
func (d *machineController) writeWaveStatus(ctx context.Context, wave int64, completed bool) error {
	key, value, err := d.Operators.WaveStatus(wave, completed)
	if err != nil {
		return err
	}
	_, err = d.commitOwn(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}}, key)
	return err
}
