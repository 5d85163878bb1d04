package ledger

import (
	"context"

	"github.com/google/uuid"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// operation returns what r wants the log to say.
func (l *Ledger) operation(r *request.Request, phase Phase) (Record, error) {
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

// outcome returns the record of a result.
func (l *Ledger) outcome(r *request.Request, result request.Result) (Record, error) {
	phase := PhaseInDoubt
	switch result.Outcome {
	case fleet.Completed:
		phase = PhaseFinished
	case fleet.NotRun:
		phase = PhaseRefused
	}
	operation, err := l.operation(r, phase)
	if phase == PhaseFinished {
		operation.Status = result.Answer.Status
		operation.Answer = kept(result.Answer)
	}
	return operation, err
}

// kept returns the answer as it is kept, or nil when it is not known whole.
func kept(a request.Answer) *request.Answer {
	if a.Rest != nil {
		return nil
	}
	return &a
}

// claimOf turns a verdict into the answer to a claim. A finished request whose
// answer cannot be given is Unknown to the caller, with words that it ran.
func (l *Ledger) claimOf(ctx context.Context, v Verdict) request.Claim {
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

// notRun adds to a claim's error that this attempt did not run.
func notRun(err error) error {
	return &problem.Error{Kind: problem.KindOf(err), Step: problem.StepClaim, Detail: "this attempt did not run", Err: err}
}
