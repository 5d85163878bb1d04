package poolmanager

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// saveBatch is how many jobs one transaction saves: each takes a condition, a write
// and up to two deletes.
const saveBatch = (store.MaxTxnEntries - 1) / 4

// saveLoop saves the progress of jobs until the ownership ends.
func (t *poolOwnership) saveLoop() {
	for t.ctx.Err() == nil {
		pending, urgent := t.pool.SavePending()
		if !pending {
			select {
			case <-t.ctx.Done():
				return
			case <-t.save:
				continue
			}
		}
		if !urgent && !t.gather() {
			return
		}
		if !t.saveOnce(t.ctx) {
			sleep(t.ctx, t.Clock, minRetryDelay)
			continue
		}
		sleep(t.ctx, t.Clock, t.timing.SaveInterval)
	}
}

// gather waits up to LazySaveDelay for more progress to save in one transaction, and
// stops once callers wait for some of it; false if the ownership has ended.
func (t *poolOwnership) gather() bool {
	timer := t.Clock.NewTimer(t.timing.LazySaveDelay)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return false
		case <-timer.Chan():
			return true
		case <-t.save:
			if _, urgent := t.pool.SavePending(); urgent {
				return true
			}
		}
	}
}

// saveOnce saves one batch; false if it is not known to be saved.
func (t *poolOwnership) saveOnce(ctx context.Context) bool {
	items, _ := t.pool.ClaimUnsaved(saveBatch)
	if len(items) == 0 {
		return true
	}
	txn, err := t.saveTxn(items)
	if err != nil {
		t.log.Error("progress of jobs not encoded, trying again", telemetry.ProblemFields(err)...)
		t.pool.SaveFailed(items)
		return false
	}
	limited, cancel := context.WithTimeout(ctx, t.timing.StoreTimeout)
	defer cancel()
	revision, err := t.Store.Commit(limited, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		t.saved(items, revision)
		return true
	case errors.As(err, &conflict):
		t.resolveConflict(items, txn, conflict)
		return false
	}
	t.log.Info("progress of jobs not saved, trying again", telemetry.ProblemFields(err)...)
	t.pool.SaveFailed(items)
	return false
}

// saved passes the pool a saved batch, wakes the pollers that wait for it, and logs the
// jobs that have ended.
func (t *poolOwnership) saved(items []scheduler.SaveItem, revision int64) {
	t.pool.Saved(items, revision)
	t.kickAll()
	for i := range items {
		if s := items[i].Progress.State; s.Final() && !items[i].EndSaved {
			took := items[i].EndedAt.Sub(items[i].AcceptedAt)
			t.log.Info("job ended", zap.String("job", items[i].Job), zap.String("queue", items[i].Queue), zap.Stringer("state", s), zap.Duration("took", took))
			t.Metrics.Record(items[i].Queue, fleet.Normal, fleet.Outcome(s.String()), telemetry.MeasureTotal, took)
		}
	}
}

// saveTxn returns the transaction that saves a batch.
func (t *poolOwnership) saveTxn(items []scheduler.SaveItem) (store.Txn, error) {
	txn := t.guardedTxn()
	for i := range items {
		item := &items[i]
		state := poolstore.SavedState{Queue: item.Queue, Progress: item.Progress}
		if item.Progress.State.Final() {
			state.EndedAt = item.EndedAt
		}
		value, err := poolstore.EncodeState(&state)
		if err != nil {
			return store.Txn{}, err
		}
		key := poolstore.StateKey(t.service, item.Job)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: item.Revision})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
		if item.Remove {
			txn.Deletes = append(txn.Deletes, poolstore.JobKey(t.service, item.Job), poolstore.CancelKey(t.service, item.Job))
		}
	}
	return txn, nil
}

// resolveConflict finds out which condition failed: the pool has another owner, an
// earlier copy of the write was applied after all, or a caller has cancelled a job.
func (t *poolOwnership) resolveConflict(items []scheduler.SaveItem, txn store.Txn, conflict *store.ConflictError) {
	if !t.stillOwner(conflict) {
		t.pool.SaveFailed(items)
		t.lose("the store has another owner")
		return
	}
	for i := range items {
		key := poolstore.StateKey(t.service, items[i].Job)
		current, ok := conflict.Find(key)
		if !ok && items[i].Remove {
			t.saved(items[i:i+1], 0) // all that was stored of it has been deleted
			continue
		}
		if !ok || current.Revision == items[i].Revision {
			t.pool.SaveFailed(items[i : i+1])
			continue
		}
		t.resolveItem(items[i], current, txn)
	}
	t.plan.send()
}

// resolveItem handles a job whose stored state differs from the one expected. If that
// is what this write contains, an earlier copy of it was applied; else the pool takes
// over the stored state.
func (t *poolOwnership) resolveItem(item scheduler.SaveItem, current store.Item, txn store.Txn) {
	written := slices.IndexFunc(txn.Writes, func(w store.Write) bool { return w.Key == current.Key })
	if written >= 0 && bytes.Equal(txn.Writes[written].Value, current.Value) {
		item.Remove = false // the earlier copy may not have deleted the job, as tasks still ran then
		t.saved([]scheduler.SaveItem{item}, current.Revision)
		return
	}
	t.pool.SaveFailed([]scheduler.SaveItem{item})
	stored, err := poolstore.DecodeState(current.Key, current.Value)
	if err != nil {
		t.invalid.logOnce(t.log, "progress of a job not understood, the next save replaces it", &current, err)
		t.pool.SaveConflicted(item.Job, current.Revision, scheduler.Progress{})
		return
	}
	t.pool.SaveConflicted(item.Job, current.Revision, stored.Progress)
}

func (t *poolOwnership) kickAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pollers {
		p.kick.send()
	}
}

// releaseTimeout bounds the first part of a hand-over: the results of orders in flight
// and the last saves. The release itself has StoreTimeout.
const releaseTimeout = 1500 * time.Millisecond

// release hands the pool over. It first waits for the results of orders in flight and
// saves all progress, as far as releaseTimeout allows.
func (t *poolOwnership) release() {
	ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout)
	defer cancel()
	t.ordersInFlight.wait(ctx)
	for pending, _ := t.pool.SavePending(); pending && ctx.Err() == nil; pending, _ = t.pool.SavePending() {
		if !t.saveOnce(ctx) {
			sleep(ctx, t.Clock, minRetryDelay)
		}
	}
	t.cancel()
	t.rosterLoopDone.Wait()
	final, stop := context.WithTimeout(context.WithoutCancel(ctx), t.timing.StoreTimeout)
	defer stop()
	if err := t.releaseOwnership(final); err != nil {
		t.log.Info("pool not released, its ownership ends with the lease", telemetry.ProblemFields(err)...)
	}
}

// releaseOwnership writes the last roster and deletes the owner's key in one
// transaction. It tries again until the outcome is known or ctx ends.
func (t *poolOwnership) releaseOwnership(ctx context.Context) error {
	roster := t.pool.Roster(t.Clock.Now())
	roster.Released = true
	value, err := poolstore.EncodeRoster(&roster)
	if err != nil {
		return err
	}
	key := poolstore.RosterKey(t.service)
	txn := store.Txn{Writes: []store.Write{{Key: key, Value: value}}, Deletes: []string{poolstore.OwnerKey(t.service)}}
	for {
		_, err := t.commitAsOwner(ctx, txn, key)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && !t.stillOwner(conflict) {
			return nil // an earlier copy was applied, or the pool was lost
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, t.Clock, minRetryDelay)
	}
}
