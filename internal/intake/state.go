package intake

import (
	"context"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// State returns the state of a job, or an error of kind NotFound when no such job
// exists.
func (in *Intake) State(ctx context.Context, service, id string) (scheduler.JobState, error) {
	found, err := in.find(ctx, service, id)
	if err != nil {
		return 0, err
	}
	return found.state.Progress.State, nil
}

// find reads a job's progress under service, and then under the other services,
// since its queue may have belonged to one of them when the job was accepted. For a job
// that was cancelled before it was stored it returns the record of that, and NotFound; for
// one that the caller may not see, likewise.
func (in *Intake) find(ctx context.Context, service, id string) (foundState, error) {
	for _, s := range in.servicesFrom(service) {
		item, err := in.get(ctx, poolstore.StateKey(s, id))
		if problem.Is(err, problem.NotFound) {
			continue
		}
		if err != nil {
			return foundState{}, err
		}
		state, err := poolstore.DecodeState(item.Key, item.Value)
		if err == nil && state.Refused {
			continue // an accepted copy of the call may be stored under another service
		}
		hidden := err == nil && !state.Barred && !in.caller.MaySee(state.Team, state.Queue)
		if err == nil && (state.Barred || hidden) {
			err = errNoSuchJob(id)
		}
		return foundState{service: s, revision: item.Revision, state: state, hidden: hidden}, err
	}
	return foundState{}, errNoSuchJob(id)
}

func errNoSuchJob(id string) error {
	return problem.New(problem.NotFound, problem.StepStoreRead, id, "no such job")
}

// get reads a key and retries until the store responds or the caller's time is
// over.
func (in *Intake) get(ctx context.Context, key string) (store.Item, error) {
	var t tries
	for {
		var item store.Item
		err := t.do(ctx, func(ctx context.Context) (err error) {
			item, err = in.store.Get(ctx, key)
			return err
		})
		if err == nil || problem.Is(err, problem.NotFound) || !in.waitForRetry(ctx) {
			return item, err
		}
	}
}
