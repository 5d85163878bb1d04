package intake

import (
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// storedState returns the state that the conflict shows to be stored for a job, under any
// service, and false if there is none. expected holds the conditions on the job's states. A
// state that cannot be decoded is one of a job that was accepted. Records of refusals are
// passed over.
func storedState(conflict *store.ConflictError, expected []store.Expectation) (poolstore.JobProgress, bool) {
	var barred poolstore.JobProgress
	for _, e := range expected {
		item, stored := conflict.Find(e.Key)
		if !stored {
			continue
		}
		state, err := poolstore.DecodeState(item.Key, item.Value)
		switch {
		case err != nil:
			return poolstore.JobProgress{}, true
		case !state.Barred:
			return state, true
		case !state.Refused:
			barred = state
		}
	}
	return barred, barred.Barred
}

// expectRefused changes the conditions on a job's states so that they hold with the records
// of refusals that the conflict shows, and reports whether it changed any. A condition on a
// record that is gone becomes one on its absence.
func expectRefused(conflict *store.ConflictError, expected []store.Expectation) bool {
	changed := false
	for i, e := range expected {
		revision := int64(0)
		if item, stored := conflict.Find(e.Key); stored {
			revision = item.Revision
		} else if len(conflict.Items) > 0 {
			continue // the condition may hold
		}
		changed = changed || revision != e.Revision
		expected[i].Revision = revision
	}
	return changed
}

func errCancelledBefore(id string) error {
	return problem.New(problem.Unavailable, problem.StepClaim, id, "the job was cancelled before it was stored")
}
