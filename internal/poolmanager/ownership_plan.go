package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/telemetry"
)

// maxPlanInterval is the longest time between two plans. A plan sets an earlier time
// for the next one where its decisions depend on time alone.
const maxPlanInterval = time.Second

// planLoop makes plans and sends their orders until the ownership ends.
func (t *poolOwnership) planLoop() {
	for t.ctx.Err() == nil {
		now := t.Clock.Now()
		next := maxPlanInterval
		if t.isValid() && !t.isLeaving() {
			plan := t.pool.Plan(now, now)
			t.execute(&plan)
			t.logEvents()
			if !plan.Next.IsZero() {
				next = min(next, max(plan.Next.Sub(now), time.Millisecond))
			}
			t.save.send()
			t.confirm.send()
		} else {
			next = renewRetryDelay
		}
		timer := t.Clock.NewTimer(next)
		select {
		case <-t.ctx.Done():
		case <-t.plan:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

func (t *poolOwnership) isLeaving() bool {
	select {
	case <-t.leaving:
		return true
	default:
		return false
	}
}

// execute sends each order from its own goroutine, so that a slow worker delays no
// other one.
func (t *poolOwnership) execute(plan *scheduler.Plan) {
	for _, o := range plan.Stops {
		t.sendTracked(func() { t.stop(o) })
	}
	for _, o := range plan.Starts {
		t.sendTracked(func() { t.start(o) })
	}
	for _, o := range plan.Throttles {
		t.orders.Go(func() { t.throttle(o) })
	}
	for _, r := range plan.Advice {
		t.orders.Go(func() { t.requestAdvice(r) })
	}
}

// sendTracked sends an order whose result a hand-over waits for.
func (t *poolOwnership) sendTracked(order func()) {
	t.ordersInFlight.add()
	t.orders.Go(func() {
		defer t.ordersInFlight.remove()
		order()
	})
}

func (t *poolOwnership) start(o scheduler.StartOrder) {
	answer, clock := scheduler.NotReached, int64(0)
	if t.isValid() {
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.OrderTimeout)
		defer cancel()
		answer, clock = t.Workers.Start(ctx, o)
	}
	if answer == scheduler.Fenced {
		t.lose("a worker has seen a later owner")
	}
	if answer != scheduler.Accepted {
		t.log.Info("task not started, or its start not confirmed by its worker", zap.String("job", o.Task.Job), zap.Int("step", o.Task.Step), zap.Int("index", o.Task.Index),
			zap.Int("attempt", o.Attempt), zap.String("worker", o.Worker), zap.Stringer("answer", answer))
	}
	t.pool.StartAnswered(o, answer, clock, t.Clock.Now())
	t.kick(o.Worker)
	if answer != scheduler.Accepted {
		t.plan.send()
	}
}

func (t *poolOwnership) stop(o scheduler.StopOrder) {
	answer := scheduler.NotReached
	if t.isValid() {
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.OrderTimeout)
		defer cancel()
		answer = t.Workers.Stop(ctx, o)
	}
	if answer == scheduler.Fenced {
		t.lose("a worker has seen a later owner")
	}
	t.pool.StopAnswered(o, answer, t.Clock.Now())
	t.kick(o.Worker)
}

func (t *poolOwnership) throttle(o scheduler.ThrottleOrder) {
	if !t.isValid() {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.timing.OrderTimeout)
	defer cancel()
	if answer := t.Workers.Throttle(ctx, o); answer != scheduler.Accepted {
		t.log.Info("order to throttle a task not accepted by its worker", zap.String("job", o.Task.Job), zap.String("worker", o.Worker), zap.Stringer("answer", answer))
	}
}

func (t *poolOwnership) requestAdvice(r scheduler.AdviceRequest) {
	if t.Adviser == nil {
		t.log.Error("queue of a job needs advice, but no address of the advice service is set", zap.String("job", r.Job))
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	sent := t.Clock.Now()
	tickets, valid, err := t.Adviser.Advise(ctx, r)
	if err != nil {
		t.log.Info("advice for a step not received, trying again", append(telemetry.ProblemFields(err), zap.String("job", r.Job))...)
	}
	t.pool.ApplyAdvice(r, tickets, valid, sent)
	t.plan.send()
}

// adviceTimeout bounds one call to the advice service, which handles calls one after
// the other.
const adviceTimeout = 3 * time.Second
