package poolmanager

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upkeep"
)

// machineController is the ownership of the machine controller role: waves of upkeep, and moves
// between pools. Only its own goroutine uses its state, but for view.
type machineController struct {
	*poolOwnership
	since           time.Time // when the role was taken over
	progress        map[int64]upkeep.Progress
	reportedDone    map[int64]bool // waves whose completion operators were told
	reportedStarted map[int64]bool // waves whose beginning operators were told
	inTransit       map[string]*inTransit
	recalls         map[string]int // as last told
	view            *shard.Cell[reportView]
}

func newMachineController(t *poolOwnership) *machineController {
	return &machineController{
		poolOwnership: t, since: t.Clock.Now(), progress: map[int64]upkeep.Progress{}, reportedDone: map[int64]bool{}, reportedStarted: map[int64]bool{},
		inTransit: map[string]*inTransit{}, recalls: map[string]int{}, view: shard.NewCell(newReportView()),
	}
}

// minStepInterval is the least time between two steps: what changes meanwhile is
// taken in at once.
const minStepInterval = 50 * time.Millisecond

// runMachineController carries out the machine controller role until it is lost or handed
// over.
func (t *poolOwnership) runMachineController() {
	defer t.cancel()
	go t.guard()
	d := newMachineController(t)
	t.orders.Go(d.watchReports)
	t.orders.Go(t.watchRequests)
	for t.ctx.Err() == nil && !t.isLeaving() {
		waves, wavesChanged := t.waves.Watch()
		view, viewChanged := d.view.Watch()
		open := d.openWaves(waves)
		busy := len(open) > 0 || t.fleet.Get().home == nil || len(d.inTransit) > 0 || len(view.needs) > 0 || len(view.offers) > 0
		if busy {
			d.step(open)
		}
		sleep(t.ctx, t.Clock, minStepInterval)
		d.await(busy, wavesChanged, viewChanged)
	}
	if t.isLeaving() {
		d.release()
	}
	t.cancel()
	t.orders.Wait()
}

// await waits for a change; while there is something to do, not for long.
func (d *machineController) await(busy bool, changes ...<-chan struct{}) {
	timer := d.Clock.NewTimer(d.timing.MachineListInterval)
	defer timer.Stop()
	expired := timer.Chan()
	if !busy {
		expired = nil
	}
	select {
	case <-d.ctx.Done():
	case <-d.leaving:
	case <-changes[0]:
	case <-changes[1]:
	case <-expired:
	}
}

// openWaves returns the waves that are not known to be completed, by number.
func (d *machineController) openWaves(v waveView) []upkeep.Wave {
	var open []upkeep.Wave
	for _, w := range v.waves {
		if !d.reportedDone[w.Number] {
			open = append(open, w)
		}
	}
	slices.SortFunc(open, func(a, b upkeep.Wave) int { return int(a.Number - b.Number) })
	return open
}

// step carries the open waves on by what can be done now.
func (d *machineController) step(open []upkeep.Wave) {
	if !d.holds() || !d.requests.Get().known || !d.view.Get().known {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, readAllTimeout)
	defer cancel()
	listed, err := d.Machines.List(ctx)
	if err != nil {
		d.log.Info("machines not read", telemetry.ProblemFields(err)...)
		return
	}
	machines := make(map[string]upkeep.Machine, len(listed))
	for _, m := range listed {
		machines[m.ID] = m
	}
	if err := d.saveHome(ctx, machines); err != nil {
		d.log.Info("pools' own machines not kept", telemetry.ProblemFields(err)...)
	}
	for _, w := range open {
		if _, err := d.load(ctx, w.Number); err != nil {
			d.log.Info("wave not read", append(telemetry.ProblemFields(err), zap.Int64("wave", w.Number))...)
			return
		}
	}
	if err := d.lend(ctx, machines); err != nil {
		d.log.Info("machines not moved", telemetry.ProblemFields(err)...)
	}
	for _, w := range open {
		if err := d.stepWave(ctx, w, machines); err != nil {
			d.log.Info("wave not carried on", append(telemetry.ProblemFields(err), zap.Int64("wave", w.Number))...)
		}
	}
}

// release gives the role up.
func (d *machineController) release() {
	ctx, cancel := context.WithTimeout(d.ctx, d.timing.StoreTimeout)
	defer cancel()
	if _, err := d.commitOwn(ctx, store.Txn{Deletes: []string{poolstore.OwnerKey(d.service)}}); err != nil {
		d.log.Info("duty ends with its lease", telemetry.ProblemFields(err)...)
	}
}
