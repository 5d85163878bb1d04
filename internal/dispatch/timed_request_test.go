package dispatch_test

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// timedRequest is a request that breaks off at its deadline when it has no answer
// by then. It is its own admission.Receiver.
type timedRequest struct {
	ticket  admission.Ticket
	work    time.Duration // time that it takes on the upstream
	start   dispatch.Start
	started time.Time // zero: not started
	shed    bool
	clock   *time.Time
}

// Placed implements admission.Receiver.
func (r *timedRequest) Placed(instance fleet.Instance, charge time.Duration) {
	r.start, r.started = dispatch.Start{Instance: instance, Charge: charge}, *r.clock
}

// Shed implements admission.Receiver.
func (r *timedRequest) Shed() { r.shed = true }

// end returns when the started request ends, and whether it has its answer then.
func (r *timedRequest) end() (at time.Time, answered bool) {
	at = r.started.Add(r.work)
	if at.After(r.ticket.Deadline) {
		return r.ticket.Deadline, false
	}
	return at, true
}

// completion returns the end of the request for the placer.
func (r *timedRequest) completion() dispatch.Completion {
	at, answered := r.end()
	return dispatch.Completion{Upstream: r.start.Instance.ID, Class: r.ticket.Class, Team: r.ticket.Team, Charge: r.start.Charge,
		Feedback: request.Feedback{Sent: true, Answered: answered, Canceled: !answered, Took: at.Sub(r.started)}}
}
