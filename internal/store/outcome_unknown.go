package store

import "persimmonbay/internal/problem"

// OutcomeUnknown reports whether a change that failed with err may have been
// committed, or may still be committed later.
func OutcomeUnknown(err error) bool {
	switch problem.KindOf(err) {
	case problem.Conflict, problem.NotFound, problem.Overloaded, problem.Unavailable, problem.Invalid:
		return false
	default:
		return err != nil
	}
}
