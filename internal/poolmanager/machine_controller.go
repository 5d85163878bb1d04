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

// machineController carries out the machine controller role while this entry owns it:
// it orders the upkeep of machines in waves, and their moves between pools. Only its
// own goroutine uses its fields, except reports.
type machineController struct {
	*poolOwnership
	since           time.Time                 // when the role was taken over
	progress        map[int64]upkeep.Progress // by wave
	reportedDone    map[int64]bool            // waves whose completion is written for operators
	reportedStarted map[int64]bool            // waves whose start is written for operators
	inTransit       map[string]*inTransit     // by machine
	unanswered      map[string]time.Time      // by machine: when the last move got no answer that may still be carried out
	recalls         map[string]int            // by pool, as last stored by this entry
	reports         *shard.Cell[reportView]
}

func newMachineController(o *poolOwnership) *machineController {
	return &machineController{
		poolOwnership: o, since: o.Clock.Now(), progress: map[int64]upkeep.Progress{}, reportedDone: map[int64]bool{}, reportedStarted: map[int64]bool{},
		inTransit: map[string]*inTransit{}, unanswered: map[string]time.Time{}, recalls: map[string]int{}, reports: shard.NewCell(newReportView()),
	}
}

// minStepInterval is the shortest time between two steps. The changes that arrive
// meanwhile are handled together.
const minStepInterval = 50 * time.Millisecond

// runMachineController carries out the machine controller role until it is lost or
// handed over.
func (o *poolOwnership) runMachineController() {
	defer o.cancel()
	o.spawn(o.guard)
	c := newMachineController(o)
	o.spawn(c.watchReports)
	o.spawn(o.watchRequests)
	for o.ctx.Err() == nil && !o.isLeaving() {
		waves, wavesChanged := o.waves.Watch()
		reports, reportsChanged := c.reports.Watch()
		open := c.openWaves(waves)
		busy := len(open) > 0 || o.fleet.Get().ownMachines == nil || len(c.inTransit) > 0 || len(reports.needs) > 0 || len(reports.kinds) > 0 || len(reports.offers) > 0 || c.mayHaveRecalls()
		if busy {
			c.step(open)
		}
		sleep(o.ctx, o.Clock, minStepInterval)
		c.waitForChange(busy, wavesChanged, reportsChanged)
	}
	if o.isLeaving() {
		c.releaseRole()
	}
	o.cancel()
	o.goroutines.Wait()
}

// waitForChange waits until the waves or the reports change or the ownership ends;
// if busy, for MachineListInterval at most.
func (c *machineController) waitForChange(busy bool, changes ...<-chan struct{}) {
	timer := c.Clock.NewTimer(c.timing.MachineListInterval)
	defer timer.Stop()
	expired := timer.Chan()
	if !busy {
		expired = nil
	}
	select {
	case <-c.ctx.Done():
	case <-c.leaving:
	case <-changes[0]:
	case <-changes[1]:
	case <-expired:
	}
}

// openWaves returns the waves that are not known to be completed, sorted by number.
func (c *machineController) openWaves(v waveView) []upkeep.Wave {
	var open []upkeep.Wave
	for _, w := range v.waves {
		if !c.reportedDone[w.Number] {
			open = append(open, w)
		}
	}
	slices.SortFunc(open, func(a, b upkeep.Wave) int { return int(a.Number - b.Number) })
	return open
}

// step reads the machines, then orders all moves and upkeep that are possible now. It
// does nothing before the requests and the reports have been read, as these hold the
// claims and requests of an earlier machine controller.
func (c *machineController) step(open []upkeep.Wave) {
	if !c.isValid() || !c.requests.Get().known || !c.reports.Get().known {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, readAllTimeout)
	defer cancel()
	listed, err := c.Machines.List(ctx)
	if err != nil {
		c.log.Info("list of machines not read, no machine is moved or taken down now", telemetry.ProblemFields(err)...)
		return
	}
	machines := make(map[string]upkeep.Machine, len(listed))
	for _, m := range listed {
		machines[m.ID] = m
	}
	if err := c.saveOwnMachines(ctx, machines); err != nil {
		c.log.Info("number of machines that belong to each pool not written, trying again", telemetry.ProblemFields(err)...)
	}
	for _, w := range open {
		if _, err := c.loadProgress(ctx, w.Number); err != nil {
			c.log.Info("progress of a wave not read, no machine is moved or taken down now", append(telemetry.ProblemFields(err), zap.Int64("wave", w.Number))...)
			return
		}
	}
	if err := c.lend(ctx, machines); err != nil {
		c.log.Info("moves of machines between pools not planned or not all ordered, trying again with the next step", telemetry.ProblemFields(err)...)
	}
	for _, w := range open {
		if err := c.stepWave(ctx, w, machines); err != nil {
			c.log.Info("step of a wave failed, trying again", append(telemetry.ProblemFields(err), zap.Int64("wave", w.Number))...)
		}
	}
}

// order returns what identifies and permits an order of this machine controller.
func (c *machineController) order() MachineOrder {
	return MachineOrder{Controller: c.entryID, Token: c.token, Permitted: c.isValid}
}

// releaseRole deletes the role's owner in the store, so that another entry can take the
// role over at once.
func (c *machineController) releaseRole() {
	ctx, cancel := context.WithTimeout(c.ctx, c.timing.StoreTimeout)
	defer cancel()
	if _, err := c.commitAsOwner(ctx, store.Txn{Deletes: []string{poolstore.OwnerKey(c.service)}}); err != nil {
		c.log.Info("ownership of the machine controller role not deleted, it ends with the lease", telemetry.ProblemFields(err)...)
	}
}
