package intake

import (
	"context"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// Cancel cancels a job and returns once that is stored. The pool's owner is
// notified, and also reads the cancellation from the store. A job in a final
// state is left unchanged, without an error.
func (in *Intake) Cancel(ctx context.Context, service, id string) error {
	var t tries
	for {
		found, err := in.find(ctx, service, id)
		if err != nil || found.state.Progress.State.Final() {
			return err
		}
		err = t.do(ctx, func(ctx context.Context) error { return in.cancel(ctx, id, found) })
		if err == nil || !in.waitForRetry(ctx) {
			return err
		}
	}
}

func (in *Intake) cancel(ctx context.Context, id string, found foundState) error {
	found.state.Progress.State = scheduler.Cancelled
	found.state.EndedAt = in.clock.Now()
	state, err := poolstore.EncodeState(&found.state)
	if err != nil {
		return err
	}
	key := poolstore.StateKey(found.service, id)
	revision, err := in.store.Commit(ctx, store.Txn{
		Expected: []store.Expectation{{Key: key, Revision: found.revision}},
		Writes:   []store.Write{{Key: key, Value: state}, {Key: poolstore.CancelKey(found.service, id)}},
	})
	if err != nil {
		return problem.Wrap(problem.KindOf(err), problem.StepStoreWrite, id, err)
	}
	in.owners.Cancelled(found.service, id, revision)
	return nil
}
