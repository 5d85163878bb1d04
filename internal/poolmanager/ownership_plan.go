package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/telemetry"
)

// planEvery is the longest time between two plans: what depends on time alone
// sets its own.
const planEvery = time.Second

// planLoop plans and carries out until the ownership ends.
func (t *poolOwnership) planLoop() {
	for t.ctx.Err() == nil {
		now := t.Clock.Now()
		next := planEvery
		if t.holds() && !t.isLeaving() {
			plan := t.pool.Plan(now, now)
			t.carryOut(&plan)
			t.logEvents()
			if !plan.Next.IsZero() {
				next = min(next, max(plan.Next.Sub(now), time.Millisecond))
			}
			t.save.send()
			t.confirm.send()
		} else {
			next = renewRetry
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

// carryOut sends each order on its own, so that a slow worker holds up nobody.
func (t *poolOwnership) carryOut(plan *scheduler.Plan) {
	for _, o := range plan.Stops {
		t.send(func() { t.stop(o) })
	}
	for _, o := range plan.Starts {
		t.send(func() { t.start(o) })
	}
	for _, o := range plan.Throttles {
		t.orders.Go(func() { t.pace(o) })
	}
	for _, r := range plan.Advice {
		t.orders.Go(func() { t.advise(r) })
	}
}

// send carries out an order that a hand-over waits for.
func (t *poolOwnership) send(order func()) {
	t.started.add()
	t.orders.Go(func() {
		defer t.started.remove()
		order()
	})
}

func (t *poolOwnership) start(o scheduler.StartOrder) {
	answer, clock := scheduler.NotReached, int64(0)
	if t.holds() {
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.OrderTimeout)
		defer cancel()
		answer, clock = t.Workers.Start(ctx, o)
	}
	if answer == scheduler.Fenced {
		t.lose("a worker has seen a later owner")
	}
	if answer != scheduler.Accepted {
		t.log.Info("task not started", zap.String("job", o.Task.Job), zap.Int("step", o.Task.Step), zap.Int("index", o.Task.Index),
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
	if t.holds() {
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

func (t *poolOwnership) pace(o scheduler.ThrottleOrder) {
	if !t.holds() {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.timing.OrderTimeout)
	defer cancel()
	if answer := t.Workers.Throttle(ctx, o); answer != scheduler.Accepted {
		t.log.Info("task not paced", zap.String("job", o.Task.Job), zap.String("worker", o.Worker), zap.Stringer("answer", answer))
	}
}

func (t *poolOwnership) advise(r scheduler.AdviceRequest) {
	if t.Adviser == nil {
		t.log.Error("a queue needs advice, but no adviser is set", zap.String("job", r.Job))
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	sent := t.Clock.Now()
	tickets, valid, err := t.Adviser.Advise(ctx, r)
	if err != nil {
		t.log.Info("no advice", append(telemetry.ProblemFields(err), zap.String("job", r.Job))...)
	}
	t.pool.ApplyAdvice(r, tickets, valid, sent)
	t.plan.send()
}

// adviceTimeout bounds one call for advice: the service takes calls in turn.
const adviceTimeout = 3 * time.Second
