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

// leaseMargin is how long before the end of the control lease a reboot request
// must have ended.
const leaseMargin = time.Second

// reboot requests the reboot that r records and then records its acceptance.
//
// The platform acts on a request whenever it arrives, so no request may be
// under way once another controller may consider the instance back in service.
// Therefore the lease, the clock and the stored record are checked right before
// the request, and the request ends at its deadline.
func (c *Controller) reboot(ctx context.Context, r maintenance.Record) {
	deadline := c.rebootDeadline(r)
	ctx, cancel := clockwork.WithDeadline(ctx, c.Clock, deadline)
	defer cancel()
	stored, err := c.Store.LoadRecord(ctx, r.Instance)
	if err != nil || stored.Version != r.Version || !c.Clock.Now().Before(deadline) {
		c.Log.Warn("reboot not requested: the deadline has passed, or the record cannot be read or has changed",
			zap.String("step", string(problem.StepReboot)), zap.String("peer", r.Instance), zap.Error(err))
		return
	}
	err = c.Rebooter.Reboot(ctx, r.Instance)
	if err != nil && !problem.Is(err, problem.Conflict) {
		c.Log.Warn("reboot request failed; its outcome may be unknown", telemetry.ProblemFields(err)...)
		return
	}
	c.Log.Info("reboot accepted", zap.String("instance", r.Instance), zap.Int("attempt", r.Reboot.Attempt))
	r.Reboot.Accepted = true
	_, err = c.Store.SaveRecord(context.WithoutCancel(ctx), r)
	c.countMade(r.Instance, err)
}

// rebootDeadline returns when the request for the reboot that r records must
// have ended: well before another controller may consider the instance back in
// service, request the next attempt or acquire the lease.
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
