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

// Waits between two tries of the same write.
const (
	firstRetryWait = 50 * time.Millisecond
	maxRetryWait   = time.Second
)

// maxTries bounds the tries of one write whose answers are lost.
const maxTries = 8

// propose writes r over its base. When an answer is lost it repeats the very
// same write: only one copy can meet its condition, since versions never come
// twice, and a copy on its way can land no more once the base is replaced.
func (s *Store) propose(ctx context.Context, r record) (configuration.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	pause := retryPause()
	lost := false
	for try := 1; ; try++ {
		version, err := s.store.Put(ctx, CurrentKey, value, platform.IfVersion(uint64(r.Base)), "")
		switch {
		case err == nil:
			return configuration.Version(version), nil
		case problem.Is(err, problem.Interrupted) || problem.Is(err, problem.Timeout):
			lost = true
		case !lost && !problem.Is(err, problem.Conflict):
			return 0, notAsked(err) // no copy of the write has left
		}
		if version, settled, err := s.settle(ctx, r, lost); settled {
			return version, err
		}
		if try == maxTries || !s.wait(ctx, pause.NextBackOff()) {
			return 0, unknown(err)
		}
	}
}

// settle says who replaced r's base: r itself, when an answer was lost, or
// another. It is not settled while the store does not answer.
func (s *Store) settle(ctx context.Context, r record, lost bool) (version configuration.Version, settled bool, err error) {
	current, err := s.current(ctx)
	if err != nil {
		// Without a lost answer no copy of r can land any more.
		return 0, !lost, conflictUnread(err)
	}
	if !lost {
		return 0, true, s.conflict(ctx, r.Base, current)
	}
	next, found, err := s.successor(ctx, r.Base, current)
	switch {
	case err != nil || current.Version == r.Base: // only an absent key can be back
		return 0, false, err
	case found && next.Record.Nonce == r.Nonce:
		return next.Version, true, nil
	case found:
		return 0, true, conflictWith(next, r.Base, current.Version)
	}
	return 0, true, unknown(problem.New(problem.Conflict, problem.StepConfiguration, current.Record.Operator, "the base was replaced longer ago than the history goes back"))
}

// wait reports false when ctx ends first.
func (s *Store) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func retryPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetryWait, maxRetryWait
	return pause
}
