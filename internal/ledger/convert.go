package ledger

import (
	"context"

	"github.com/google/uuid"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// operationFor returns the operation that sets the key of r to phase. It returns
// an error of kind Invalid when the key is no UUID.
func (l *Ledger) operationFor(r *request.Request, phase Phase) (Record, error) {
	key, err := uuid.Parse(string(r.Key))
	if err != nil {
		return Record{}, problem.Wrap(problem.Invalid, problem.StepClaim, "", err)
	}
	deadline := r.Deadline
	if deadline.IsZero() {
		deadline = l.clock.Now().Add(defaultClaimTimeout)
	}
	return Record{Key: key, Digest: DigestOf(r), Attempt: AttemptOf(r.ID), Phase: phase, Entry: l.options.Entry, Deadline: deadline}, nil
}

// outcomeFor returns the operation that records the result of r.
func (l *Ledger) outcomeFor(r *request.Request, result request.Result) (Record, error) {
	phase := PhaseInDoubt
	switch result.Outcome {
	case fleet.Completed:
		phase = PhaseFinished
	case fleet.NotRun:
		phase = PhaseRefused
	}
	operation, err := l.operationFor(r, phase)
	if phase == PhaseFinished {
		operation.Status = result.Answer.Status
		operation.Answer = wholeAnswer(result.Answer)
	}
	return operation, err
}

// wholeAnswer returns a, or nil when part of its body has not been read.
func wholeAnswer(a request.Answer) *request.Answer {
	if a.Remainder != nil {
		return nil
	}
	return &a
}

// claimFor converts a verdict to the result of a claim. When the answer of a
// finished request is not available, the outcome is Unknown with an error which
// states that the request ran.
func (l *Ledger) claimFor(ctx context.Context, v Verdict) request.Claim {
	claim := request.Claim{State: v.State}
	if v.State != request.ClaimReplay {
		return claim
	}
	answer, err := l.answers.fetch(ctx, v.Record)
	if err != nil {
		claim.Result = request.Result{Outcome: fleet.Unknown, Err: err}
		return claim
	}
	claim.Result = request.Result{Outcome: fleet.Completed, Answer: *answer}
	return claim
}

// notRun wraps the error of a claim and adds that this attempt did not run.
func notRun(err error) error {
	return &problem.Error{Kind: problem.KindOf(err), Step: problem.StepClaim, Detail: "this attempt did not run", Err: err}
}
