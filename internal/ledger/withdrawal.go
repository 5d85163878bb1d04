package ledger

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Bounds of the withdrawals of claims.
const (
	maxWithdrawals = 1024        // at once; more leave their keys in doubt
	withdrawRetry  = time.Second // before the first repeat; each wait is twice the one before
)

// withdraw records that the attempt of claim did not run, should its claim
// stand now or appear in the log within outcomeTimeout. It must only be called
// for an attempt whose Claim returns an error: it has sent nothing and never
// will. A claim that stands has kept all other attempts at the key from
// running, so the tombstone is true of the key.
func (l *Ledger) withdraw(ctx context.Context, claim Record, cause error) {
	if problem.Is(cause, problem.Invalid) || !l.withdrawals.TryAcquire(1) {
		return
	}
	claim.Phase = PhaseRefused
	go func() {
		defer l.withdrawals.Release(1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
		defer cancel()
		for wait := withdrawRetry; !l.withdrawn(ctx, claim); wait *= 2 {
			select {
			case <-l.clock.After(wait):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// withdrawn records refusal if its attempt's claim stands, and reports whether
// nothing is left to do: the tombstone stands, or another attempt's record.
func (l *Ledger) withdrawn(ctx context.Context, refusal Record) bool {
	verdict, err := l.submit(ctx, refusal)
	if err != nil {
		return false
	}
	if verdict.State == request.ClaimGranted {
		l.counters.add(countWithdrawn)
		return true
	}
	return verdict.Record.Phase != PhaseNone
}
