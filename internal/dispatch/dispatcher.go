package dispatch

import (
	"context"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Dispatcher implements request.Dispatcher with a Placer and a clock. It holds no
// state of its own.
type Dispatcher struct {
	placer *Placer
	clock  clockwork.Clock
	record Recorder
	kick   func() // called when a request is queued; must not block
}

var _ request.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher over placer. kick is called when a request is queued
// for a slot, so that slots are requested without delay; it must not block.
func New(placer *Placer, clock clockwork.Clock, record Recorder, kick func()) *Dispatcher {
	return &Dispatcher{placer: placer, clock: clock, record: record, kick: kick}
}

// Acquire implements request.Dispatcher. It returns when the request has a slot,
// is refused, or ctx ends.
func (d *Dispatcher) Acquire(ctx context.Context, r *request.Request, service *configuration.Service, excluded []string) (request.Placement, error) {
	now := d.clock.Now()
	w := &waiter{started: make(chan Start, 1)}
	w.ticket = admission.Ticket{Class: r.Class, Team: r.Team, Arrived: now, Deadline: r.Deadline, Bytes: len(r.Body), ExcludedInstances: excluded, Receiver: w}
	start, verdict := d.placer.Acquire(service.Name, &w.ticket, now)
	switch verdict {
	case admission.Started:
		return d.placement(w, service.Name, start), nil
	case admission.Queue:
		d.kick()
		return d.wait(ctx, w, service.Name)
	}
	d.record.RecordWait(r.Team, r.Class, false, 0)
	return request.Placement{}, refusal(verdict, service.Name)
}

// refusal returns the error for a request that is not started.
func refusal(verdict admission.Verdict, service string) error {
	switch verdict {
	case admission.NoInstanceLeft:
		return problem.New(problem.Unavailable, problem.StepRoute, service, "no live instance of the service is left to try")
	case admission.QueueFull:
		return problem.New(problem.Overloaded, problem.StepAdmit, service, "the team's share of the queue is full; retry later")
	}
	return problem.New(problem.Overloaded, problem.StepAdmit, service, "the request could not be answered before its deadline; retry later")
}

// wait waits until the queued request is started or shed, or ctx ends. A slot
// that is assigned while ctx ends is used.
func (d *Dispatcher) wait(ctx context.Context, w *waiter, service string) (request.Placement, error) {
	select {
	case start, placed := <-w.started:
		return d.finishWait(w, service, start, placed)
	case <-ctx.Done():
	}
	if d.placer.Withdraw(service, &w.ticket) {
		return d.finishWait(w, service, Start{}, false)
	}
	start, placed := <-w.started // the outcome was sent before the withdrawal
	return d.finishWait(w, service, start, placed)
}

// finishWait returns the placement of a queued request, or its refusal when it
// was not placed.
func (d *Dispatcher) finishWait(w *waiter, service string, start Start, placed bool) (request.Placement, error) {
	if placed {
		return d.placement(w, service, start), nil
	}
	d.record.RecordWait(w.ticket.Team, w.ticket.Class, false, d.clock.Now().Sub(w.ticket.Arrived))
	return request.Placement{}, refusal(admission.TooLate, service)
}

// placement records the wait of a started request and returns its placement.
func (d *Dispatcher) placement(w *waiter, service string, start Start) request.Placement {
	t := &w.ticket
	waited := d.clock.Now().Sub(t.Arrived)
	d.record.RecordWait(t.Team, t.Class, true, waited)
	release := func(f request.Feedback) {
		if f.Sent {
			d.record.RecordServed(t.Team, t.Class, f.Answered, f.Took)
		}
		d.placer.Release(service, Completion{Upstream: start.Instance.ID, Class: t.Class, Team: t.Team, Charge: start.Charge, Feedback: f}, d.clock.Now())
	}
	return request.Placement{Instance: start.Instance, Release: release, Waited: waited}
}
