package intake

import (
	"context"
	"errors"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// Cancel cancels a job and returns once that is stored. The pool's owner is
// notified, and also reads the cancellation from the store. A job in a final
// state is left unchanged, without an error. The error NotFound guarantees that the job
// does not run later either, unless it belongs to another team.
func (in *Intake) Cancel(ctx context.Context, service, id string) error {
	var t tries
	for {
		found, err := in.find(ctx, service, id)
		if problem.Is(err, problem.NotFound) && !found.state.Barred && !found.hidden {
			barred := t.do(ctx, func(ctx context.Context) error { return in.bar(ctx, service, id, false) })
			if barred == nil {
				return err
			}
			if !in.waitForRetry(ctx) {
				return barred
			}
			continue // it may have been stored meanwhile
		}
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

// bar stores that a job which is not stored was cancelled or, if refused is true, refused.
// A write that accepts the job and is carried out later is conditional on the absence of one
// of the keys: its entry may have an older configuration, by which the queue belongs to
// another service. An error with a store.ConflictError means that the job is stored, or was
// cancelled.
func (in *Intake) bar(ctx context.Context, service, id string, refused bool) error {
	state, err := poolstore.EncodeState(&poolstore.JobProgress{Progress: scheduler.Progress{State: scheduler.Cancelled}, EndedAt: in.clock.Now(), Barred: true, Refused: refused})
	if err != nil {
		return err
	}
	var txn store.Txn
	for _, s := range in.servicesFrom(service) {
		if len(txn.Writes) == maxBarredServices {
			break
		}
		key := poolstore.StateKey(s, id)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: state})
	}
	for {
		_, err = in.store.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && ctx.Err() == nil {
			if _, stored := storedState(conflict, txn.Expected); !stored && expectRefused(conflict, txn.Expected) {
				continue // earlier refusals
			}
		}
		return problem.Wrap(problem.KindOf(err), problem.StepStoreWrite, id, err)
	}
}

// maxBarredServices is under how many services one transaction bars a job: each takes a
// condition and a write.
const maxBarredServices = store.MaxTxnEntries / 2
