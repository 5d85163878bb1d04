package ledger

import (
	"context"

	"persimmonbay/internal/problem"
)

// pending is an operation that waits for its verdict until ctx ends. done buffers
// one reply.
type pending struct {
	ctx       context.Context
	operation Record
	done      chan Reply
}

func newPending(ctx context.Context, operation Record) *pending {
	return &pending{ctx: ctx, operation: operation, done: make(chan Reply, 1)}
}

// mayWait reports whether the operation may wait to share a batch with others.
// All other operations are urgent: they are sent or committed at once.
func (p *pending) mayWait() bool {
	return p.operation.Phase == PhaseFinished || p.operation.Phase == PhaseInDoubt
}

func (p *pending) resolve(v Verdict, err error) { p.done <- Reply{Verdict: v, Err: err} }

func (p *pending) wait() (Verdict, error) {
	select {
	case r := <-p.done:
		return r.Verdict, r.Err
	case <-p.ctx.Done():
		return Verdict{}, problem.Wrap(problem.Timeout, problem.StepClaim, "", context.Cause(p.ctx))
	}
}
