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

// attempt is one request of the trace, from its arrival to its end. It is the
// receiver of its own admission ticket.
type attempt struct {
	sim     *simulation
	entry   *entry
	stream  *trace.Stream
	tally   *tally // nil: the request is not counted
	arrived time.Duration
	work    time.Duration
	ticket  admission.Ticket
	charge  time.Duration
}

// acquire requests a slot, for the first attempt or a retry.
func (a *attempt) acquire() {
	start, verdict := a.entry.placer.Acquire(a.stream.Service, &a.ticket, a.sim.time())
	switch verdict {
	case admission.Started:
		a.Placed(start.Instance, start.Charge)
	case admission.Queue:
		a.sim.expediteRound(a.entry)
	}
}

// Placed implements admission.Receiver.
func (a *attempt) Placed(instance fleet.Instance, charge time.Duration) {
	a.charge = charge
	if a.tally != nil && len(a.ticket.ExcludedInstances) == 0 {
		record(a.tally.waiting, a.sim.now-a.arrived)
	}
	r := a.sim.upstreams[instance.ID]
	if r.dead {
		a.sim.events.schedule(a.sim.now+messageDelay, func() { a.end(r, request.Feedback{Failed: true}) })
		return
	}
	if a.sim.variant.Slots == SlotsFree && r.inFlight >= r.slots {
		r.refused++
		a.sim.events.schedule(a.sim.now+messageDelay, func() { a.end(r, request.Feedback{Sent: true, Answered: true, Failed: true}) })
		return
	}
	r.inFlight++
	r.maxInFlight = max(r.maxInFlight, r.inFlight)
	started := a.sim.now
	a.sim.events.schedule(a.sim.now+a.work, func() {
		r.inFlight--
		a.end(r, request.Feedback{Sent: true, Answered: !r.dead, Failed: r.dead, Took: a.sim.now - started})
	})
}

// Shed implements admission.Receiver.
func (a *attempt) Shed() {}

// end releases the slot and retries the request when it failed in time.
func (a *attempt) end(r *upstream, f request.Feedback) {
	if a.entry.dead {
		return
	}
	a.entry.placer.Release(a.stream.Service, dispatch.Completion{Upstream: r.instance.ID, Class: a.ticket.Class, Team: a.ticket.Team, Charge: a.charge, Feedback: f}, a.sim.time())
	late := a.sim.now > a.arrived+a.stream.Timeout
	if f.Failed && !late && len(a.ticket.ExcludedInstances)+1 < maxAttempts {
		a.ticket.ExcludedInstances = append(a.ticket.ExcludedInstances, r.instance.ID)
		a.acquire()
		return
	}
	if a.tally == nil || f.Failed || late {
		return
	}
	a.tally.good++
	record(a.tally.total, a.sim.now-a.arrived)
}
