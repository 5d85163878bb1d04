package configstore

import (
	"context"
	"fmt"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
)

// conflict returns a Conflict error with the operator and the version that
// replaced base, or those of the current version if the history does not have
// the successor or cannot be read.
func (s *Store) conflict(ctx context.Context, base configuration.Version, current versionedRecord) error {
	if next, found, err := s.successor(ctx, base, current); err == nil && found {
		return conflictWith(next, base, current.Version)
	}
	return conflictWith(current, base, current.Version)
}

// conflictWith returns a Conflict error with the record that was accepted first.
func conflictWith(winner versionedRecord, base, current configuration.Version) error {
	if current == 0 {
		return problem.New(problem.Conflict, problem.StepConfiguration, "",
			fmt.Sprintf("not accepted: base %d is not in the platform's store, which holds no configuration; apply again with -base 0", base))
	}
	return problem.New(problem.Conflict, problem.StepConfiguration, winner.Record.Operator,
		fmt.Sprintf("not accepted: version %d, applied by %s, was accepted first (your change names base %d); show the configuration in force with 'config show', make your change to it and apply with -base %d",
			winner.Version, winner.Record.Operator, base, current))
}

// conflictUnread returns a Conflict error for a change that was accepted first by
// an operator whose name cannot be read because of err.
func conflictUnread(err error) error {
	p := problem.Wrap(problem.Conflict, problem.StepConfiguration, "", err)
	p.Detail = "not accepted: another change was accepted first; its operator is unknown because the platform's store does not respond; run 'config history' later"
	return p
}

// notSent returns an Unavailable error: no copy of the write was sent.
func notSent(err error) error {
	p := problem.Wrap(problem.Unavailable, problem.StepConfiguration, "", err)
	p.Detail = "not accepted: the platform's store does not respond; the configuration in force stays; apply again through another entry, or later"
	return p
}

// outcomeUnknown returns an Interrupted error: the write may have taken effect or
// may still do so.
func outcomeUnknown(err error) error {
	p := problem.Wrap(problem.Interrupted, problem.StepConfiguration, "", err)
	p.Detail = "unknown whether accepted: the store's response was lost; run 'config history'; if the change is not listed, apply the same file with the same -base again, which cannot be accepted twice"
	return p
}
