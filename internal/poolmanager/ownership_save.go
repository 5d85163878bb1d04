package poolmanager

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync/atomic"

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

// maxConcurrentSaves bounds the batches that are being saved at the same time. A write
// without a response occupies one of them for StoreTimeout; the others go on meanwhile.
const maxConcurrentSaves = 8

// maxSaveDoublings bounds how often the pause after a failed save doubles.
const maxSaveDoublings = 3

// saveLoop saves the progress of jobs until the ownership ends. A backlog is worked off
// without pauses, as polls wait for the save of earlier ends.
func (o *poolOwnership) saveLoop() {
	slots := make(chan struct{}, maxConcurrentSaves)
	var failures atomic.Int32 // since the last batch that was saved
	for o.ctx.Err() == nil {
		pending, urgent := o.pool.SavePending()
		if !pending {
			select {
			case <-o.ctx.Done():
				return
			case <-o.save:
				continue
			}
		}
		if !urgent && !o.gather() {
			return
		}
		select {
		case <-o.ctx.Done():
			return
		case slots <- struct{}{}:
		}
		o.savesInFlight.add()
		items, _ := o.pool.ClaimUnsaved(saveBatch)
		o.spawn(func() {
			defer func() { <-slots }()
			defer o.savesInFlight.remove()
			if o.saveItems(o.ctx, items) {
				failures.Store(0)
				return
			}
			n := min(failures.Add(1), maxSaveDoublings)
			sleep(o.ctx, o.Clock, min(minRetryDelay<<n, maxRetryDelay))
			o.save.send()
		})
		if len(items) < saveBatch {
			sleep(o.ctx, o.Clock, o.timing.SaveInterval)
		}
	}
}

// gather waits up to LazySaveDelay for more progress to save in one transaction, and
// stops once callers wait for some of it; false if the ownership has ended.
func (o *poolOwnership) gather() bool {
	timer := o.Clock.NewTimer(o.timing.LazySaveDelay)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return false
		case <-timer.Chan():
			return true
		case <-o.save:
			if _, urgent := o.pool.SavePending(); urgent {
				return true
			}
		}
	}
}

// saveOnce saves one batch, and reports whether it is known to be saved.
func (o *poolOwnership) saveOnce(ctx context.Context) bool {
	items, _ := o.pool.ClaimUnsaved(saveBatch)
	return o.saveItems(ctx, items)
}

// saveItems saves a batch of claimed jobs, and reports whether it is known to be saved.
func (o *poolOwnership) saveItems(ctx context.Context, items []scheduler.SaveItem) bool {
	if len(items) == 0 {
		return true
	}
	txn, err := o.saveTxn(items)
	if err != nil {
		o.log.Error("progress of jobs not encoded, trying again", telemetry.ProblemFields(err)...)
		o.pool.SaveFailed(items)
		return false
	}
	limited, cancel := context.WithTimeout(ctx, o.timing.StoreTimeout)
	defer cancel()
	revision, err := o.Store.Commit(limited, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		o.saved(items, revision)
		return true
	case errors.As(err, &conflict):
		o.resolveConflict(items, txn, conflict)
		return false
	}
	o.log.Info("progress of jobs not saved, trying again", telemetry.ProblemFields(err)...)
	o.pool.SaveFailed(items)
	return false
}

// saved passes the pool a saved batch, wakes the pollers that wait for that, and logs the
// jobs that have ended.
func (o *poolOwnership) saved(items []scheduler.SaveItem, revision int64) {
	for _, worker := range o.pool.Saved(items, revision) {
		o.kick(worker)
	}
	for i := range items {
		if s := items[i].Progress.State; s.Final() && !items[i].EndSaved {
			took := items[i].EndedAt.Sub(items[i].AcceptedAt)
			o.log.Info("job ended", zap.String("job", items[i].Job), zap.String("queue", items[i].Queue), zap.Stringer("state", s), zap.Duration("took", took))
			o.Metrics.Record(items[i].Queue, fleet.Normal, fleet.Outcome(s.String()), telemetry.MeasureTotal, took)
		}
	}
}

// saveTxn returns the transaction that saves a batch.
func (o *poolOwnership) saveTxn(items []scheduler.SaveItem) (store.Txn, error) {
	txn := o.guardedTxn()
	for i := range items {
		item := &items[i]
		state := poolstore.JobProgress{Queue: item.Queue, Team: item.Team, Progress: item.Progress}
		if item.Progress.State.Final() {
			state.EndedAt = item.EndedAt
		}
		value, err := poolstore.EncodeState(&state)
		if err != nil {
			return store.Txn{}, err
		}
		key := poolstore.StateKey(o.service, item.Job)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: item.Revision})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
		if item.Remove {
			txn.Deletes = append(txn.Deletes, poolstore.JobKey(o.service, item.Job), poolstore.CancelKey(o.service, item.Job))
		}
	}
	return txn, nil
}

// resolveConflict finds out which condition failed: the pool has another owner, an
// earlier copy of the write was applied after all, or a caller has cancelled a job.
func (o *poolOwnership) resolveConflict(items []scheduler.SaveItem, txn store.Txn, conflict *store.ConflictError) {
	if !o.stillOwner(conflict) {
		o.pool.SaveFailed(items)
		o.lose("the store names another owner")
		return
	}
	for i := range items {
		key := poolstore.StateKey(o.service, items[i].Job)
		current, ok := conflict.Find(key)
		if !ok && items[i].Remove {
			o.saved(items[i:i+1], 0) // all that was stored of it has been deleted
			continue
		}
		if !ok || current.Revision == items[i].Revision {
			o.pool.SaveFailed(items[i : i+1])
			continue
		}
		o.resolveItem(items[i], current, txn)
	}
	o.plan.send()
}

// resolveItem handles a job whose stored state differs from the one expected. If that
// is what this write contains, an earlier copy of it was applied; else the pool takes
// over the stored state.
func (o *poolOwnership) resolveItem(item scheduler.SaveItem, current store.Item, txn store.Txn) {
	written := slices.IndexFunc(txn.Writes, func(w store.Write) bool { return w.Key == current.Key })
	if written >= 0 && bytes.Equal(txn.Writes[written].Value, current.Value) {
		item.Remove = false // the earlier copy may not have deleted the job, as tasks still ran then
		o.saved([]scheduler.SaveItem{item}, current.Revision)
		return
	}
	o.pool.SaveFailed([]scheduler.SaveItem{item})
	stored, err := poolstore.DecodeState(current.Key, current.Value)
	if err != nil {
		o.invalid.logOnce(o.log, "progress of a job not understood, the next save replaces it", &current, err)
		o.pool.SaveConflicted(item.Job, current.Revision, scheduler.Progress{})
		return
	}
	o.pool.SaveConflicted(item.Job, current.Revision, stored.Progress)
}
