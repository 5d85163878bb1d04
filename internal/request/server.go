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

// Server serves requests under the configuration in force. It holds no state of
// its own.
type Server struct {
	InForce     *configuration.InForce
	Dispatcher  Dispatcher
	Sender      Sender
	Ledger      Ledger
	RetryBudget *RetryBudget
	Clock       clockwork.Clock
}

// Serve runs r to its end and returns the result for its caller. It may lower the
// class of r to the team's highest one, and sets the deadline when r has none.
func (s *Server) Serve(ctx context.Context, r *Request) Result {
	service, err := s.validate(r)
	if err != nil {
		return Result{Outcome: refusalOutcome(r), Err: err}
	}
	if r.Deadline.IsZero() {
		r.Deadline = s.Clock.Now().Add(service.Timeout)
	}
	if r.Key != "" {
		ctx = context.WithoutCancel(ctx) // a claimed request runs until it has an outcome, even when its caller has gone
	}
	ctx, cancel := withDeadline(ctx, clockwork.NewRealClock(), r.Deadline)
	defer cancel()
	if r.Key != "" {
		return s.serveKeyed(ctx, r, service)
	}
	return s.attempt(ctx, r, service)
}

// refusalOutcome returns the outcome of a request that is refused before its claim.
// A request with a key may be running on another entry.
func refusalOutcome(r *Request) fleet.Outcome {
	if r.Key != "" {
		return fleet.Unknown
	}
	return fleet.NotRun
}

// validate returns the service that r addresses, or an error when the service or
// the team is not configured or the route requires a key that r lacks. It lowers
// the class of r to the team's highest one.
func (s *Server) validate(r *Request) (*configuration.Service, error) {
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
		return nil, problem.New(problem.Invalid, problem.StepParse, "", "Idempotency-Key: this route is not idempotent and requires a UUIDv7")
	}
	return service, nil
}

// serveKeyed claims the key of r and runs r only when the claim is granted.
func (s *Server) serveKeyed(ctx context.Context, r *Request, service *configuration.Service) Result {
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

// claimRefusal returns the result for a claim that is neither granted nor
// replayed.
func claimRefusal(state ClaimState) Result {
	switch state {
	case ClaimMismatch:
		return Result{Outcome: fleet.Unknown, Err: problem.New(problem.Mismatch, problem.StepClaim, "", "this Idempotency-Key was used with another request")}
	case ClaimRefused:
		return Result{Outcome: fleet.NotRun, Err: problem.New(problem.Overloaded, problem.StepClaim, "", "the request with this Idempotency-Key was refused before and never runs; use a new key")}
	case ClaimInDoubt:
		return Result{Outcome: fleet.Unknown, Err: problem.New(problem.Interrupted, problem.StepClaim, "", "an earlier attempt with this Idempotency-Key may have run; its outcome cannot be determined")}
	}
	return Result{Outcome: fleet.Unknown, Err: problem.New(problem.Conflict, problem.StepClaim, "", "an earlier attempt with this Idempotency-Key is in progress")}
}

// attempt runs the attempts at r and returns its result; see attempts.run.
func (s *Server) attempt(ctx context.Context, r *Request, service *configuration.Service) Result {
	return s.newAttempts(r, service).run(ctx)
}

// send sends r to the placement's instance. It releases the placement when Send
// returns, or, when the answer has a remainder, when that is closed.
func (s *Server) send(ctx context.Context, p Placement, r *Request, service *configuration.Service) (Answer, error) {
	start := s.Clock.Now()
	answer, err := s.Sender.Send(ctx, p.Instance, service, r)
	feedback := Feedback{
		Sent:     !problem.Is(err, problem.Unavailable),
		Failed:   err != nil && !errors.Is(context.Cause(ctx), context.Canceled) || answer.Status >= serverErrorStatus,
		Answered: err == nil,
		Canceled: ctx.Err() != nil,
		Took:     max(s.Clock.Now().Sub(start), time.Nanosecond),
	}
	if answer.Remainder == nil {
		p.Release(feedback)
		return answer, err
	}
	answer.Remainder = &releasingBody{ReadCloser: answer.Remainder, release: func() { p.Release(feedback) }}
	return answer, err
}

// serverErrorStatus is the lowest HTTP status of a failed upstream.
const serverErrorStatus = 500
