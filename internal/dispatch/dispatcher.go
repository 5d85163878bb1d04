package dispatch

import (
	"context"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Dispatcher runs a Placer by a clock. It holds no state of its own.
type Dispatcher struct {
	placer *Placer
	clock  clockwork.Clock
	record Recorder
	kick   func() // called when a request has to wait; must not block
}

var _ request.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher over placer. kick is called when a request has to
// wait for a slot and must not block.
func New(placer *Placer, clock clockwork.Clock, record Recorder, kick func()) *Dispatcher {
	return &Dispatcher{placer: placer, clock: clock, record: record, kick: kick}
}

// Acquire implements request.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, r *request.Request, service *configuration.Service, tried []string) (request.Placement, error) {
	now := d.clock.Now()
	w := &waiter{turn: make(chan Start, 1)}
	w.ticket = admission.Ticket{Class: r.Class, Team: r.Team, Arrived: now, Deadline: r.Deadline, Bytes: len(r.Body), Tried: tried, Receiver: w}
	start, verdict := d.placer.Acquire(service.Name, &w.ticket, now)
	switch verdict {
	case admission.Started:
		return d.placement(w, service.Name, start), nil
	case admission.Queue:
		d.kick()
		return d.wait(ctx, w, service.Name)
	}
	d.record.Waited(r.Team, r.Class, false, 0)
	return request.Placement{}, refusal(verdict, service.Name)
}

func refusal(verdict admission.Verdict, service string) error {
	switch verdict {
	case admission.NoneLeft:
		return problem.New(problem.Unavailable, problem.StepRoute, service, "no live instance of the service is left to try")
	case admission.Full:
		return problem.New(problem.Overloaded, problem.StepAdmit, service, "the team's share of the queue is full; retry later")
	}
	return problem.New(problem.Overloaded, problem.StepAdmit, service, "the request could not be answered before its deadline; retry later")
}

func (d *Dispatcher) wait(ctx context.Context, w *waiter, service string) (request.Placement, error) {
	select {
	case start, placed := <-w.turn:
		return d.turn(w, service, start, placed)
	case <-ctx.Done():
	}
	if d.placer.Withdraw(service, &w.ticket) {
		return d.turn(w, service, Start{}, false)
	}
	start, placed := <-w.turn // told already
	return d.turn(w, service, start, placed)
}

func (d *Dispatcher) turn(w *waiter, service string, start Start, placed bool) (request.Placement, error) {
	if placed {
		return d.placement(w, service, start), nil
	}
	d.record.Waited(w.ticket.Team, w.ticket.Class, false, d.clock.Now().Sub(w.ticket.Arrived))
	return request.Placement{}, refusal(admission.TooLate, service)
}

func (d *Dispatcher) placement(w *waiter, service string, start Start) request.Placement {
	t := &w.ticket
	waited := d.clock.Now().Sub(t.Arrived)
	d.record.Waited(t.Team, t.Class, true, waited)
	release := func(f request.Feedback) {
		if f.Sent {
			d.record.Served(t.Team, t.Class, f.Answered, f.Took)
		}
		d.placer.Release(service, End{Upstream: start.Instance.ID, Class: t.Class, Team: t.Team, Charge: start.Charge, Feedback: f}, d.clock.Now())
	}
	return request.Placement{Instance: start.Instance, Release: release, Waited: waited}
}
