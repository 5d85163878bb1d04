package configstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
)

// Bounds of the exponential backoff between attempts of the same write.
const (
	firstRetryWait = 50 * time.Millisecond
	maxRetryWait   = time.Second
)

// maxAttempts bounds the attempts of one write whose responses are lost.
const maxAttempts = 8

// propose replaces r.Base by r and returns the new version. If a response is
// lost, it repeats the identical write, at most maxAttempts times. At most one
// copy can take effect, because each requires the version r.Base and the store
// never assigns a version twice. Once the base is replaced, a copy in flight
// cannot take effect any more.
func (s *Store) propose(ctx context.Context, r record) (configuration.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	pause := retryPause()
	responseLost := false
	for attempt := 1; ; attempt++ {
		version, err := s.store.Put(ctx, CurrentKey, value, platform.IfVersion(uint64(r.Base)), "")
		switch {
		case err == nil:
			return configuration.Version(version), nil
		case problem.Is(err, problem.Interrupted) || problem.Is(err, problem.Timeout):
			responseLost = true
		case !responseLost && !problem.Is(err, problem.Conflict):
			return 0, notSent(err) // no copy of the write was sent
		}
		if version, resolved, err := s.resolveOutcome(ctx, r, responseLost); resolved {
			return version, err
		}
		if attempt == maxAttempts || !s.wait(ctx, pause.NextBackOff()) {
			return 0, outcomeUnknown(err)
		}
	}
}

// resolveOutcome reads the store to find out whether r replaced its base, which
// is possible only if a response was lost, or another record did. It reports
// false for resolved while the outcome is still unknown.
func (s *Store) resolveOutcome(ctx context.Context, r record, responseLost bool) (version configuration.Version, resolved bool, err error) {
	current, err := s.current(ctx)
	if err != nil {
		// Unless a response was lost, no copy of r can take effect any more.
		return 0, !responseLost, conflictUnread(err)
	}
	if !responseLost {
		return 0, true, s.conflict(ctx, r.Base, current)
	}
	next, found, err := s.successor(ctx, r.Base, current)
	switch {
	case err != nil || current.Version == r.Base: // not replaced yet, or 0 again because the key was deleted
		return 0, false, err
	case found && next.Record.Nonce == r.Nonce:
		return next.Version, true, nil
	case found:
		return 0, true, conflictWith(next, r.Base, current.Version)
	}
	return 0, true, outcomeUnknown(problem.New(problem.Conflict, problem.StepConfiguration, current.Record.Operator, "the base was replaced by a version that the history no longer has"))
}

// wait waits for d. It reports false if ctx ends first.
func (s *Store) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// retryPause returns the backoff between attempts of a write.
func retryPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetryWait, maxRetryWait
	return pause
}
