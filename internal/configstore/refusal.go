package configstore

import (
	"context"
	"fmt"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
)

// conflict names who replaced base. That there is a conflict is certain, also
// when the history cannot be read.
func (s *Store) conflict(ctx context.Context, base configuration.Version, current historic) error {
	if next, found, err := s.successor(ctx, base, current); err == nil && found {
		return conflictWith(next, base, current.Version)
	}
	return conflictWith(current, base, current.Version)
}

func conflictWith(winner historic, base, current configuration.Version) error {
	if current == 0 {
		return problem.New(problem.Conflict, problem.StepConfiguration, "",
			fmt.Sprintf("not accepted: base %d is not in the platform's store, which holds no configuration; apply again with -base 0", base))
	}
	return problem.New(problem.Conflict, problem.StepConfiguration, winner.Record.Operator,
		fmt.Sprintf("not accepted: version %d, applied by %s, came first (yours names base %d); look at what is in force with 'config show', put your change into it and apply with -base %d",
			winner.Version, winner.Record.Operator, base, current))
}

// conflictUnread says that another came first, whose name cannot be read.
func conflictUnread(err error) error {
	p := problem.Wrap(problem.Conflict, problem.StepConfiguration, "", err)
	p.Detail = "not accepted: another change came first, and the platform's store does not answer who made it; look with 'config history' later"
	return p
}

// notAsked says that no copy of the write has left.
func notAsked(err error) error {
	p := problem.Wrap(problem.Unavailable, problem.StepConfiguration, "", err)
	p.Detail = "not accepted: the platform's store does not answer; what is in force stays; apply again through another entry, or later"
	return p
}

// unknown says that the write may have taken effect or may yet.
func unknown(err error) error {
	p := problem.Wrap(problem.Interrupted, problem.StepConfiguration, "", err)
	p.Detail = "unknown whether accepted: the store's answer was lost; look with 'config history', and if it is not there apply the same file with the same -base again, which cannot be accepted twice"
	return p
}
