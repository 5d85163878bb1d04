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

// Controller carries plans out for as long as it holds the control lease. It
// keeps no state of its own between two steps.
type Controller struct {
	Store     *fleetstore.Store
	Rebooter  platform.Rebooter
	Sources   Sources
	Policy    maintenance.Policy
	WriteRate WriteRate
	Clock     clockwork.Clock
	Log       *zap.Logger
	// HeldUntil returns until when the control lease is surely held; nil when no
	// lease is needed.
	HeldUntil func() time.Time
}

// maxPlanAge is how long a plan may be carried out after it was made. A holder
// that was paused for longer drops its plan.
const maxPlanAge = 5 * time.Second

// Step plans once, makes the changes and returns how many it made. Changes
// that others forestalled are dropped; the next plan sees why.
func (c *Controller) Step(ctx context.Context) int {
	planned := c.Clock.Now()
	snapshot, known := c.Sources.Snapshot(ctx)
	if !known {
		return 0
	}
	return c.Apply(ctx, maintenance.Plan(&snapshot, c.Policy), planned)
}

// Apply makes the changes of a plan that was made at the given time.
func (c *Controller) Apply(ctx context.Context, changes maintenance.Changes, planned time.Time) int {
	made := 0
	if c.Clock.Since(planned) > maxPlanAge {
		c.Log.Warn("plan dropped: too old", zap.String("step", string(problem.StepPlan)))
		return made
	}
	if changes.Roster != nil {
		_, err := c.Store.SaveRoster(ctx, *changes.Roster)
		made += c.made("roster", err)
	}
	if changes.Disruptions != nil {
		_, err := c.Store.SaveDisruptions(ctx, *changes.Disruptions)
		made += c.made("disruptions", err)
	}
	written := c.saveRecords(ctx, changes.Records)
	made += len(written)
	for _, r := range changes.Deleted {
		made += c.made(r.Instance, c.Store.DeleteRecord(ctx, r))
	}
	if changes.Wave != nil {
		_, err := c.Store.SaveWave(ctx, *changes.Wave)
		made += c.made("wave", err)
	}
	for _, r := range changes.Reboots {
		if version, ok := written[r.Instance]; ok {
			r.Version = version
			c.reboot(ctx, r)
		}
	}
	return made
}

// made logs what became of a change and returns 1 when it was made.
func (c *Controller) made(what string, err error) int {
	if err == nil {
		return 1
	}
	if problem.Is(err, problem.Conflict) || problem.Is(err, problem.NotFound) {
		c.Log.Debug("change forestalled", zap.String("change", what))
		return 0
	}
	c.Log.Warn("change not made", append(telemetry.ProblemFields(err), zap.String("change", what))...)
	return 0
}
