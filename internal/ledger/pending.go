package ledger

import "context"

// pending is an operation that waits for its verdict. done holds one result.
type pending struct {
	ctx       context.Context
	operation Record
	done      chan result
}

// patient reports whether the operation may wait for a batch to ride on.
func (p *pending) patient() bool {
	return p.operation.Phase == PhaseFinished || p.operation.Phase == PhaseInDoubt
}

func (p *pending) resolve(v Verdict, err error) { p.done <- result{verdict: v, err: err} }
