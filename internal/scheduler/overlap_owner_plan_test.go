package scheduler_test

import (
	"cmp"
	"slices"
	"time"

	"persimmonbay/internal/scheduler"
)

// Timeouts as in the entry.
const (
	orderTimeout = 700 * time.Millisecond
	storeTimeout = 900 * time.Millisecond
	pollWait     = 250 * time.Millisecond // how long a worker delays a reply without ends
)

// kickPlan has a plan made soon.
func (o *overlapOwner) kickPlan() {
	if o.planPending || !o.loaded {
		return
	}
	o.planPending = true
	o.after(time.Millisecond, o.plan)
}

func (o *overlapOwner) planAt(d time.Duration) { o.after(d, o.kickPlan) }

func (o *overlapOwner) plan() {
	o.planPending = false
	if !o.mayAct() || o.releasing {
		o.planAt(200 * time.Millisecond)
		return
	}
	now := o.s.now
	plan := o.pool.Plan(now, now)
	// The pool ranges over maps; sorting makes the run of a seed reproducible.
	slices.SortFunc(plan.Stops, func(a, b scheduler.StopOrder) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	slices.SortStableFunc(plan.Starts, func(a, b scheduler.StartOrder) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, worker := range plan.Polls {
		o.kick(worker)
	}
	for _, stop := range plan.Stops {
		o.stop(stop)
	}
	for _, start := range plan.Starts {
		o.start(start)
	}
	next := time.Second
	if !plan.Next.IsZero() {
		next = min(next, max(plan.Next.Sub(now), time.Millisecond))
	}
	o.planAt(next)
}

func (o *overlapOwner) start(order scheduler.StartOrder) {
	o.ordersInTransit++
	o.s.log(order.Task.Job, order.Task, "", "owner %d orders start of %v attempt %d on %s", o.token, order.Task, order.Attempt, order.Worker)
	answered := func(result scheduler.OrderResult, clock int64) {
		o.ordersInTransit--
		if o.ended {
			return
		}
		o.s.log(order.Task.Job, order.Task, "", "owner %d receives the result of its start of attempt %d on %s: %s", o.token, order.Attempt, order.Worker, result)
		if result == scheduler.Fenced && o.pool.TokenRaised(order.Worker, order.Token) {
			result = scheduler.Superseded
		}
		if result == scheduler.Fenced {
			o.end("fenced by " + order.Worker)
		}
		o.pool.StartAnswered(order, result, clock, o.s.now)
		o.kick(order.Worker)
		if p := o.pollers[order.Worker]; p != nil && p.endWait != nil && result == scheduler.NoResponse {
			p.endWait()
		}
		if result == scheduler.NoResponse && o.mayAct() {
			o.saveRoster() // as poolmanager's rosterLoop does then
		}
		if result != scheduler.Accepted {
			o.kickPlan()
		}
	}
	late := o.s.call(order.Address, order.Timeout, func(sentTo, inc *overlapIncarnation, send func(func())) {
		if sentTo.info.ID == order.Worker && sentTo.startedAtMillis() != order.Incarnation {
			send(func() { answered(scheduler.Restarted, 0) })
			return
		}
		result, clock := o.s.startAt(inc, order)
		send(func() { o.after(o.readDelay(), func() { answered(result, clock) }) })
	}, func(a scheduler.OrderResult) { answered(a, 0) })
	o.s.lateStarts[order.Task] = scheduler.Later(o.s.lateStarts[order.Task], late)
}

func (o *overlapOwner) stop(order scheduler.StopOrder) {
	o.ordersInTransit++
	o.s.log(order.Task.Job, order.Task, "", "owner %d orders stop of %v attempt %d on %s", o.token, order.Task, order.Attempt, order.Worker)
	answered := func(result scheduler.OrderResult) {
		o.ordersInTransit--
		if o.ended {
			return
		}
		if result == scheduler.Fenced && o.pool.TokenRaised(order.Worker, order.Token) {
			result = scheduler.Superseded
		}
		if result == scheduler.Fenced {
			o.end("fenced by " + order.Worker)
		}
		o.pool.StopAnswered(order, result, o.s.now)
		o.kick(order.Worker)
	}
	o.s.call(order.Address, order.Timeout, func(_, inc *overlapIncarnation, send func(func())) {
		result := o.s.stopAt(inc, order)
		send(func() { answered(result) })
	}, answered)
}
