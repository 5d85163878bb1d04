package replay

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
	"persimmonbay/internal/trace"
)

// maxAttempts bounds how many instances one request is tried on, as in
// package request.
const maxAttempts = 3

// attempt is one request of the trace on its way. It is its own receiver.
type attempt struct {
	sim     *simulation
	entry   *entry
	stream  *trace.Stream
	tally   *tally // nil when it is not counted
	arrived time.Duration
	work    time.Duration
	ticket  admission.Ticket
	charge  time.Duration
}

// ask asks for a turn, the first or another one.
func (a *attempt) ask() {
	start, verdict := a.entry.placer.Acquire(a.stream.Service, &a.ticket, a.sim.time())
	switch verdict {
	case admission.Started:
		a.Placed(start.Instance, start.Charge)
	case admission.Queue:
		a.sim.press(a.entry)
	}
}

// Placed implements admission.Receiver.
func (a *attempt) Placed(instance fleet.Instance, charge time.Duration) {
	a.charge = charge
	if a.tally != nil && len(a.ticket.Tried) == 0 {
		record(a.tally.waiting, a.sim.now-a.arrived)
	}
	r := a.sim.runners[instance.ID]
	if r.dead {
		a.sim.agenda.add(a.sim.now+messageDelay, func() { a.end(r, request.Feedback{Failed: true}) })
		return
	}
	if a.sim.way.Slots == SlotsFree && r.atWork >= r.slots {
		r.refused++
		a.sim.agenda.add(a.sim.now+messageDelay, func() { a.end(r, request.Feedback{Sent: true, Answered: true, Failed: true}) })
		return
	}
	r.atWork++
	r.most = max(r.most, r.atWork)
	started := a.sim.now
	a.sim.agenda.add(a.sim.now+a.work, func() {
		r.atWork--
		a.end(r, request.Feedback{Sent: true, Answered: !r.dead, Failed: r.dead, Took: a.sim.now - started})
	})
}

// Shed implements admission.Receiver.
func (a *attempt) Shed() {}

func (a *attempt) end(r *runner, f request.Feedback) {
	if a.entry.dead {
		return
	}
	a.entry.placer.Release(a.stream.Service, dispatch.End{Upstream: r.instance.ID, Class: a.ticket.Class, Team: a.ticket.Team, Charge: a.charge, Feedback: f}, a.sim.time())
	late := a.sim.now > a.arrived+a.stream.Timeout
	if f.Failed && !late && len(a.ticket.Tried)+1 < maxAttempts {
		a.ticket.Tried = append(a.ticket.Tried, r.instance.ID)
		a.ask()
		return
	}
	if a.tally == nil || f.Failed || late {
		return
	}
	a.tally.good++
	record(a.tally.total, a.sim.now-a.arrived)
}
