package request

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
)

// Server serves requests by the configuration in force. It holds no state of
// its own.
type Server struct {
	InForce    *configuration.InForce
	Dispatcher Dispatcher
	Sender     Sender
	Ledger     Ledger
	Retries    *RetryBudget
	Clock      clockwork.Clock
}

// Serve runs r to its end and returns what the caller is told.
func (s *Server) Serve(ctx context.Context, r *Request) Result {
	service, err := s.accept(r)
	if err != nil {
		return Result{Outcome: refusalOutcome(r), Err: err}
	}
	if r.Deadline.IsZero() {
		r.Deadline = s.Clock.Now().Add(service.Timeout)
	}
	if r.Key != "" {
		ctx = context.WithoutCancel(ctx) // a claimed request ends in an outcome, also when its caller has gone
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Key != "" {
		return s.serveOnce(ctx, r, service)
	}
	return s.attempt(ctx, r, service)
}

// refusalOutcome is the outcome of a request refused without asking the
// ledger: a key may be running elsewhere.
func refusalOutcome(r *Request) fleet.Outcome {
	if r.Key != "" {
		return fleet.Unknown
	}
	return fleet.NotRun
}

// accept finds the service and checks what r may ask for.
func (s *Server) accept(r *Request) (*configuration.Service, error) {
	inForce := s.InForce.Get()
	if inForce.Configuration == nil {
		return nil, problem.New(problem.Unavailable, problem.StepConfiguration, "", "no configuration is in force yet; apply one with 'persimmonbay config apply'")
	}
	service, ok := inForce.Configuration.Service(r.Service)
	if !ok {
		return nil, problem.New(problem.NotFound, problem.StepRoute, r.Service, "no such service is configured")
	}
	team, ok := inForce.Configuration.Team(r.Team)
	if !ok {
		return nil, problem.New(problem.Invalid, problem.StepParse, "", "Persimmonbay-Team: expected the name of a configured team, found \""+r.Team+"\"")
	}
	r.Class = min(r.Class, team.TopClass)
	if r.Key == "" && !service.Idempotent(r.Method, r.Path) {
		return nil, problem.New(problem.Invalid, problem.StepParse, "", "Idempotency-Key: this route is not idempotent and demands a UUIDv7")
	}
	return service, nil
}

// serveOnce runs r only under a granted claim.
func (s *Server) serveOnce(ctx context.Context, r *Request, service *configuration.Service) Result {
	claim, err := s.Ledger.Claim(ctx, r)
	if err != nil {
		return Result{Outcome: fleet.Unknown, Err: err}
	}
	switch claim.State {
	case ClaimGranted:
		return s.Ledger.Complete(ctx, r, s.attempt(ctx, r, service))
	case ClaimReplay:
		claim.Result.Replayed = true
		return claim.Result
	}
	return claimRefusal(claim.State)
}

func claimRefusal(state ClaimState) Result {
	switch state {
	case ClaimMismatch:
		return Result{Outcome: fleet.Unknown, Err: problem.New(problem.Mismatch, problem.StepClaim, "", "this Idempotency-Key was used with another request")}
	case ClaimRefused:
		return Result{Outcome: fleet.NotRun, Err: problem.New(problem.Overloaded, problem.StepClaim, "", "this Idempotency-Key was refused before and never runs; use a new one")}
	case ClaimInDoubt:
		return Result{Outcome: fleet.Unknown, Err: problem.New(problem.Interrupted, problem.StepClaim, "", "an earlier attempt may have run; nobody can know")}
	}
	return Result{Outcome: fleet.Unknown, Err: problem.New(problem.Conflict, problem.StepClaim, "", "an earlier attempt is in progress")}
}

// attempt sends r until it has an answer, may not be repeated, or time,
// attempts or the budget of retries run out.
func (s *Server) attempt(ctx context.Context, r *Request, service *configuration.Service) Result {
	return s.newAttempts(r, service).run(ctx)
}

// send sends r to the placement's instance and releases the placement once the
// whole answer has been read.
func (s *Server) send(ctx context.Context, p Placement, r *Request, service *configuration.Service) (Answer, error) {
	start := s.Clock.Now()
	answer, err := s.Sender.Send(ctx, p.Instance, service, r)
	feedback := Feedback{
		Sent:     !problem.Is(err, problem.Unavailable),
		Failed:   err != nil && !errors.Is(ctx.Err(), context.Canceled) || answer.Status >= serverErrorStatus,
		Answered: err == nil,
		Canceled: ctx.Err() != nil,
		Took:     max(s.Clock.Now().Sub(start), time.Nanosecond),
	}
	if answer.Rest == nil {
		p.Release(feedback)
		return answer, err
	}
	answer.Rest = &releasedBody{ReadCloser: answer.Rest, release: func() { p.Release(feedback) }}
	return answer, err
}

// serverErrorStatus is the lowest status by which an upstream says that it
// failed.
const serverErrorStatus = 500
