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

// saveBatch is how many jobs one transaction keeps: each takes a condition, a
// write and up to two removals.
const saveBatch = (store.MaxTxnEntries - 1) / 4

// saveLoop keeps the progress of jobs until the ownership ends.
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
			sleep(t.ctx, t.Clock, firstRetry)
			continue
		}
		sleep(t.ctx, t.Clock, t.timing.SaveInterval)
	}
}

// gather waits for more progress to save at once, but not once callers wait
// for some of it.
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

// saveOnce keeps one batch; false when it was not kept.
func (t *poolOwnership) saveOnce(ctx context.Context) bool {
	items, _ := t.pool.ClaimUnsaved(saveBatch)
	if len(items) == 0 {
		return true
	}
	txn, err := t.saveTxn(items)
	if err != nil {
		t.log.Error("progress not encoded", telemetry.ProblemFields(err)...)
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
		t.settleConflict(items, txn, conflict)
		return false
	}
	t.log.Info("progress not kept yet", telemetry.ProblemFields(err)...)
	t.pool.SaveFailed(items)
	return false
}

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

func (t *poolOwnership) saveTxn(items []scheduler.SaveItem) (store.Txn, error) {
	txn := t.guardedTxn()
	for i := range items {
		item := &items[i]
		kept := poolstore.SavedState{Queue: item.Queue, Progress: item.Progress}
		if item.Progress.State.Final() {
			kept.EndedAt = item.EndedAt
		}
		value, err := poolstore.EncodeState(&kept)
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

// settleConflict finds out which condition did not hold: the pool has another
// owner, an earlier copy of the write was carried out after all, or a caller
// has cancelled a job.
func (t *poolOwnership) settleConflict(items []scheduler.SaveItem, txn store.Txn, conflict *store.ConflictError) {
	if !t.named(conflict) {
		t.pool.SaveFailed(items)
		t.lose("the store names another owner")
		return
	}
	for i := range items {
		key := poolstore.StateKey(t.service, items[i].Job)
		current, ok := conflict.Find(key)
		if !ok && items[i].Remove {
			t.saved(items[i:i+1], 0) // all that was kept of it has been swept
			continue
		}
		if !ok || current.Revision == items[i].Revision {
			t.pool.SaveFailed(items[i : i+1])
			continue
		}
		t.settleItem(items[i], current, txn)
	}
	t.plan.send()
}

func (t *poolOwnership) settleItem(item scheduler.SaveItem, current store.Item, txn store.Txn) {
	written := slices.IndexFunc(txn.Writes, func(w store.Write) bool { return w.Key == current.Key })
	if written >= 0 && bytes.Equal(txn.Writes[written].Value, current.Value) {
		item.Remove = false // the copy may have been made while something still ran
		t.saved([]scheduler.SaveItem{item}, current.Revision)
		return
	}
	t.pool.SaveFailed([]scheduler.SaveItem{item})
	kept, err := poolstore.DecodeState(current.Key, current.Value)
	if err != nil {
		t.invalid.logOnce(t.log, "progress not understood", &current, err)
		t.pool.SaveConflicted(item.Job, current.Revision, scheduler.Progress{}) // the next save replaces it
		return
	}
	t.pool.SaveConflicted(item.Job, current.Revision, kept.Progress)
}

func (t *poolOwnership) kickAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.pollers {
		l.kick.send()
	}
}

// releaseTimeout bounds the hand-over of a pool: orders on their way, one last
// save and the release itself.
const releaseTimeout = 1500 * time.Millisecond

// release hands the pool over: no order is on its way any more, and all progress
// is kept, as far as the time allows.
func (t *poolOwnership) release() {
	ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout)
	defer cancel()
	t.started.wait(ctx)
	for pending, _ := t.pool.SavePending(); pending && ctx.Err() == nil; pending, _ = t.pool.SavePending() {
		if !t.saveOnce(ctx) {
			sleep(ctx, t.Clock, firstRetry)
		}
	}
	t.cancel()
	t.rosters.Wait()
	final, stop := context.WithTimeout(context.WithoutCancel(ctx), t.timing.StoreTimeout)
	defer stop()
	if err := t.giveAway(final); err != nil {
		t.log.Info("pool ends with its lease", telemetry.ProblemFields(err)...)
	}
}

// giveAway keeps the last roster and gives the pool up, again and again until
// the store has answered.
func (t *poolOwnership) giveAway(ctx context.Context) error {
	roster := t.pool.Roster(t.Clock.Now())
	roster.Released = true
	value, err := poolstore.EncodeRoster(&roster)
	if err != nil {
		return err
	}
	key := poolstore.RosterKey(t.service)
	txn := store.Txn{Writes: []store.Write{{Key: key, Value: value}}, Deletes: []string{poolstore.OwnerKey(t.service)}}
	for {
		_, err := t.commitOwn(ctx, txn, key)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && !t.named(conflict) {
			return nil // an earlier copy was carried out, or the pool was lost
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, t.Clock, firstRetry)
	}
}
