package controller

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// leaseMargin is how long before the end of the control lease a request to
// reboot must have ended.
const leaseMargin = time.Second

// reboot asks for the reboot that is written in r. The platform takes a request
// whenever it arrives, so none may be under way once another controller may
// take the instance for back: the lease, the clock and the record are looked at
// right before the request, which ends with its deadline.
func (c *Controller) reboot(ctx context.Context, r maintenance.Record) {
	deadline := c.rebootDeadline(r)
	ctx, cancel := clockwork.WithDeadline(ctx, c.Clock, deadline)
	defer cancel()
	stored, err := c.Store.LoadRecord(ctx, r.Instance)
	if err != nil || stored.Version != r.Version || !c.Clock.Now().Before(deadline) {
		c.Log.Warn("reboot not asked for: too late, or the record has changed",
			zap.String("step", string(problem.StepReboot)), zap.String("peer", r.Instance), zap.Error(err))
		return
	}
	err = c.Rebooter.Reboot(ctx, r.Instance)
	if err != nil && !problem.Is(err, problem.Conflict) {
		c.Log.Warn("reboot not accepted", telemetry.ProblemFields(err)...)
		return
	}
	c.Log.Info("reboot accepted", zap.String("instance", r.Instance), zap.Int("attempt", r.Reboot.Attempt))
	r.Reboot.Accepted = true
	_, err = c.Store.SaveRecord(context.WithoutCancel(ctx), r)
	c.made(r.Instance, err)
}

// rebootDeadline is when the request for the reboot that is written in r must
// have ended: well before another controller may take the instance for back, ask
// for the next reboot, or take the lease over.
func (c *Controller) rebootDeadline(r maintenance.Record) time.Time {
	deadline := r.Since.Add(c.Policy.RebootGrace / 2)
	if c.HeldUntil == nil {
		return deadline
	}
	if end := c.HeldUntil().Add(-leaseMargin); end.Before(deadline) {
		return end
	}
	return deadline
}
