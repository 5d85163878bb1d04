package scheduler_test

import (
	"cmp"
	"slices"
	"time"

	"persimmonbay/internal/scheduler"
)

// Times of the entry.
const (
	orderTime = 700 * time.Millisecond
	storeTime = 900 * time.Millisecond
	pollWait  = time.Second
)

func (o *overlapOwner) kickPlan() {
	if o.planned || !o.loaded {
		return
	}
	o.planned = true
	o.after(time.Millisecond, o.plan)
}

func (o *overlapOwner) planAt(d time.Duration) { o.after(d, o.kickPlan) }

func (o *overlapOwner) plan() {
	o.planned = false
	if !o.holds() || o.leaving {
		o.planAt(200 * time.Millisecond)
		return
	}
	now := o.s.now
	plan := o.pool.Plan(now, now)
	// The pool keeps some orders in maps; a seed has to play the same again.
	slices.SortFunc(plan.Stops, func(a, b scheduler.StopOrder) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	slices.SortStableFunc(plan.Starts, func(a, b scheduler.StartOrder) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
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
	o.flying++
	o.s.note(order.Task.Job, order.Task, "", "owner %d orders start of %v attempt %d on %s", o.token, order.Task, order.Attempt, order.Worker)
	answered := func(answer scheduler.OrderResult, clock int64) {
		o.flying--
		if o.over {
			return
		}
		o.s.note(order.Task.Job, order.Task, "", "owner %d hears of its start of attempt %d on %s: %s", o.token, order.Attempt, order.Worker, answer)
		if answer == scheduler.Fenced {
			o.lose("fenced by " + order.Worker)
		}
		o.pool.StartAnswered(order, answer, clock, o.s.now)
		o.kick(order.Worker)
		if answer != scheduler.Accepted {
			o.kickPlan()
		}
	}
	o.s.call(order.Address, orderTime, func(l *overlapIncarnation, send func(func())) {
		answer, clock := o.s.startAt(l, order)
		send(func() { answered(answer, clock) })
	}, func(a scheduler.OrderResult) { answered(a, 0) })
}

func (o *overlapOwner) stop(order scheduler.StopOrder) {
	o.flying++
	o.s.note(order.Task.Job, order.Task, "", "owner %d orders stop of %v attempt %d on %s", o.token, order.Task, order.Attempt, order.Worker)
	answered := func(answer scheduler.OrderResult) {
		o.flying--
		if o.over {
			return
		}
		if answer == scheduler.Fenced {
			o.lose("fenced by " + order.Worker)
		}
		o.pool.StopAnswered(order, answer, o.s.now)
		o.kick(order.Worker)
	}
	o.s.call(order.Address, orderTime, func(l *overlapIncarnation, send func(func())) {
		answer := o.s.stopAt(l, order)
		send(func() { answered(answer) })
	}, answered)
}
