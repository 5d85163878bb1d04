package controller

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// Controller plans and carries out the plans while its entry holds the control
// lease. It has no state between two steps.
type Controller struct {
	Store     *fleetstore.Store
	Rebooter  platform.Rebooter
	Sources   Sources
	Policy    maintenance.Policy
	WriteRate WriteRate
	Clock     clockwork.Clock
	Log       *zap.Logger
	// HeldUntil returns the time until which the control lease is certainly
	// held. It is nil if no lease is needed.
	HeldUntil func() time.Time
}

// maxPlanAge is how long after its creation a plan may be carried out. A
// controller whose process was suspended for longer drops its plan.
const maxPlanAge = 5 * time.Second

// Step makes one plan, carries it out and returns the number of changes made. A
// change that conflicts with a concurrent one is dropped; the next plan starts
// from the new state.
func (c *Controller) Step(ctx context.Context) int {
	planned := c.Clock.Now()
	snapshot, known := c.Sources.Snapshot(ctx)
	if !known {
		return 0
	}
	return c.Apply(ctx, maintenance.Plan(&snapshot, c.Policy), planned)
}

// Apply carries out a plan that was made at the given time and returns the
// number of changes made. It drops a plan older than maxPlanAge.
func (c *Controller) Apply(ctx context.Context, changes maintenance.Changes, planned time.Time) int {
	made := 0
	if c.Clock.Since(planned) > maxPlanAge {
		c.Log.Warn("plan dropped: older than the maximum age of a plan", zap.String("step", string(problem.StepPlan)))
		return made
	}
	if changes.Roster != nil {
		_, err := c.Store.SaveRoster(ctx, *changes.Roster)
		made += c.countMade("roster", err)
	}
	if changes.Disruptions != nil {
		_, err := c.Store.SaveDisruptions(ctx, *changes.Disruptions)
		made += c.countMade("disruptions", err)
	}
	written := c.saveRecords(ctx, changes.Records)
	made += len(written)
	for _, r := range changes.Deleted {
		made += c.countMade(r.Instance, c.Store.DeleteRecord(ctx, r))
	}
	if changes.Wave != nil {
		_, err := c.Store.SaveWave(ctx, *changes.Wave)
		made += c.countMade("wave", err)
	}
	for _, r := range changes.Reboots {
		if version, ok := written[r.Instance]; ok {
			r.Version = version
			c.reboot(ctx, r)
		}
	}
	return made
}

// countMade logs the error of a change, if any, and returns 1 if the change was
// made and 0 otherwise.
func (c *Controller) countMade(what string, err error) int {
	if err == nil {
		return 1
	}
	if problem.Is(err, problem.Conflict) || problem.Is(err, problem.NotFound) {
		c.Log.Debug("change dropped: the stored record has changed since the plan", zap.String("change", what))
		return 0
	}
	c.Log.Warn("change failed; the next plan includes it again", append(telemetry.ProblemFields(err), zap.String("change", what))...)
	return 0
}
