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

const (
	// planPause is the pause after a plan, as a multiple of the time that the plan took:
	// so many changes are planned for at once, and planning takes at most a quarter of
	// the time however large the backlog is. What workers answer is applied in the rest.
	planPause = 3
	// minPlanPause is the shortest such pause: short compared with any task, and long
	// enough for the answers of several workers.
	minPlanPause = 5 * time.Millisecond
)

// planLoop makes plans and sends their orders until the ownership ends.
func (o *poolOwnership) planLoop() {
	for o.ctx.Err() == nil {
		now := o.Clock.Now()
		next := maxPlanInterval
		if o.isValid() && !o.isLeaving() {
			plan := o.pool.Plan(now, now)
			o.execute(&plan)
			o.logEvents()
			if o.pool.QuotaWaiting() {
				o.quotaWanted.send()
			}
			sleep(o.ctx, o.Clock, max(planPause*o.Clock.Now().Sub(now), minPlanPause))
			if !plan.Next.IsZero() {
				next = min(next, max(plan.Next.Sub(now), time.Millisecond))
			}
			o.save.send()
			o.confirm.send()
		} else {
			next = renewRetryDelay
		}
		timer := o.Clock.NewTimer(next)
		select {
		case <-o.ctx.Done():
		case <-o.plan:
		case <-timer.Chan():
		}
		timer.Stop()
	}
	o.logEvents() // those since the last plan
}

func (o *poolOwnership) isLeaving() bool {
	select {
	case <-o.leaving:
		return true
	default:
		return false
	}
}

// execute sends each order from its own goroutine, so that a slow worker delays no
// other one.
func (o *poolOwnership) execute(plan *scheduler.Plan) {
	if plan.TokensUsedUp {
		o.log.Info("fencing tokens for calls to a worker nearly used up, the pool is handed over")
		o.requestHandOver()
	}
	for _, worker := range plan.Interrupts {
		if p := o.poller(worker); p != nil {
			p.interrupt()
		}
	}
	for _, worker := range plan.Polls {
		o.kick(worker)
	}
	for _, order := range plan.Stops {
		o.sendTracked(func() { o.stopTask(order) })
	}
	for _, order := range plan.Starts {
		o.sendTracked(func() { o.startTask(order) })
	}
	for _, order := range plan.Throttles {
		o.spawn(func() { o.throttleTask(order) })
	}
	for _, r := range plan.Advice {
		o.spawn(func() { o.requestAdvice(r) })
	}
}

// sendTracked sends an order whose result a hand-over waits for.
func (o *poolOwnership) sendTracked(order func()) {
	o.ordersInFlight.add()
	o.spawn(func() {
		defer o.ordersInFlight.remove()
		order()
	})
}

func (o *poolOwnership) startTask(order scheduler.StartOrder) {
	began := o.Clock.Now()
	answer, clock := scheduler.NotReached, int64(0)
	if o.isValid() {
		ctx, cancel := context.WithTimeout(o.ctx, max(order.Timeout, o.timing.Scheduler.StartTimeout))
		defer cancel()
		permitted := func() bool { return o.isValid() && o.pool.StartWanted(order) }
		answer, clock = o.Workers.Start(ctx, order, permitted)
	}
	if answer == scheduler.NotReached && o.isValid() && !o.pool.StartWanted(order) {
		answer = scheduler.Withdrawn
	}
	answer = o.checkFenced(order.Worker, order.Token, answer)
	answeredAt := o.Clock.Now()
	o.pool.StartAnswered(order, answer, clock, answeredAt)
	o.lines.logStart(&order, answer, answeredAt.Sub(began), answeredAt)
	o.kick(order.Worker)
	if answer == scheduler.NoResponse {
		o.endWait(order.Worker)
		o.rosterChanged.send() // a next owner has to know of it
	}
	if answer != scheduler.Accepted {
		o.plan.send()
	}
}

// checkFenced ends the ownership if a call with the given fencing token was refused because
// its worker has seen a later owner. If the worker may have seen a later token of this one,
// the answer is Superseded.
func (o *poolOwnership) checkFenced(worker string, token int64, answer scheduler.OrderResult) scheduler.OrderResult {
	switch {
	case answer != scheduler.Fenced:
	case o.pool.TokenRaised(worker, token):
		return scheduler.Superseded
	default:
		o.lose("a worker has seen a later owner")
	}
	return answer
}

func (o *poolOwnership) stopTask(order scheduler.StopOrder) {
	answer := scheduler.NotReached
	if o.isValid() {
		ctx, cancel := context.WithTimeout(o.ctx, o.timing.OrderTimeout)
		defer cancel()
		answer = o.Workers.Stop(ctx, order, o.isValid)
	}
	answer = o.checkFenced(order.Worker, order.Token, answer)
	o.pool.StopAnswered(order, answer, o.Clock.Now())
	o.kick(order.Worker)
	if answer == scheduler.NoResponse || answer == scheduler.Superseded {
		o.plan.send() // it may be due again before the time that the last plan gave
	}
}

func (o *poolOwnership) throttleTask(order scheduler.ThrottleOrder) {
	if !o.isValid() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.timing.OrderTimeout)
	defer cancel()
	if answer := o.Workers.Throttle(ctx, order, o.isValid); answer != scheduler.Accepted {
		o.log.Info("order to throttle a task not accepted by its worker", zap.String("job", order.Task.Job), zap.String("worker", order.Worker), zap.Stringer("answer", answer))
	}
}

func (o *poolOwnership) requestAdvice(r scheduler.AdviceRequest) {
	if o.Adviser == nil {
		o.log.Error("queue of a job needs advice, but no address of the advice service is set", zap.String("job", r.Job))
		o.pool.ApplyAdvice(r, scheduler.AdviceReply{}, o.Clock.Now())
		return
	}
	reply, err := o.Adviser.Advise(o.ctx, r)
	if err != nil {
		o.log.Info("advice for a step not received, trying again", append(telemetry.ProblemFields(err), zap.String("job", r.Job))...)
	}
	o.pool.ApplyAdvice(r, reply, o.Clock.Now())
	o.plan.send()
}
