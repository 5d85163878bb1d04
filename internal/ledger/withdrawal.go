package ledger

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Limits of the withdrawals of claims.
const (
	maxWithdrawals = 1024        // concurrent withdrawals; beyond them the keys stay claimed and become in doubt
	withdrawRetry  = time.Second // wait before the first retry; it doubles with each retry
)

// withdraw writes, in the background, a tombstone for the attempt of claim if
// its claim is in the log now or appears there within outcomeTimeout. It must
// only be called for an attempt whose Claim returns an error, because that
// attempt has not sent the request and never will. As long as its claim was in
// the log, no other attempt at the key could run, so the tombstone is correct for
// the key.
func (l *Ledger) withdraw(ctx context.Context, claim Record, cause error) {
	if problem.Is(cause, problem.Invalid) || !l.withdrawals.TryAcquire(1) {
		return
	}
	claim.Phase = PhaseRefused
	go func() {
		defer l.withdrawals.Release(1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
		defer cancel()
		for wait := withdrawRetry; !l.tryWithdraw(ctx, claim); wait *= 2 {
			select {
			case <-l.clock.After(wait):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// tryWithdraw writes refusal if the claim of its attempt is in the log. It
// reports whether the withdrawal is done: the log has the tombstone or another
// attempt's record.
func (l *Ledger) tryWithdraw(ctx context.Context, refusal Record) bool {
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
