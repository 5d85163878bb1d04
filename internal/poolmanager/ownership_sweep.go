package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// sweepEvery is how often states that need not be told any more are removed: a
// read of all of them should stay rare.
const sweepEvery = time.Minute

// sweepBatch is how many jobs one transaction removes: each takes a condition
// and up to three removals.
const sweepBatch = (store.MaxTxnEntries - 1) / 4

// sweepLoop removes what is kept of jobs that ended long ago, until the ownership
// ends.
func (t *poolOwnership) sweepLoop() {
	for t.ctx.Err() == nil {
		sleep(t.ctx, t.Clock, sweepEvery)
		if !t.holds() {
			continue
		}
		if err := t.sweep(t.ctx); err != nil && t.ctx.Err() == nil {
			t.log.Info("states not swept", telemetry.ProblemFields(err)...)
		}
	}
}

func (t *poolOwnership) sweep(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	items, _, err := t.Store.Range(limited, poolstore.StatePrefix(t.service))
	if err != nil {
		return err
	}
	old := t.outdated(items)
	for len(old) > 0 {
		txn := t.guardedTxn()
		n := min(len(old), sweepBatch)
		for _, item := range old[:n] {
			txn.Expected = append(txn.Expected, store.Expectation{Key: item.Key, Revision: item.Revision})
			txn.Deletes = append(txn.Deletes, item.Key)
			if id, ok := poolstore.ParseState(t.service, item.Key); ok {
				txn.Deletes = append(txn.Deletes, poolstore.JobKey(t.service, id), poolstore.CancelKey(t.service, id))
			}
		}
		if _, err := t.Store.Commit(limited, txn); err != nil {
			return err
		}
		old = old[n:]
	}
	return nil
}

// outdated returns the states that ended longer ago than they have to be told.
func (t *poolOwnership) outdated(items []store.Item) []store.Item {
	var old []store.Item
	for _, item := range items {
		state, err := poolstore.DecodeState(item.Key, item.Value)
		if err != nil {
			t.invalid.logOnce(t.log, "progress not understood", &item, err)
			continue
		}
		if !state.EndedAt.IsZero() && t.Clock.Now().Sub(state.EndedAt) > t.timing.Retention {
			old = append(old, item)
		}
	}
	return old
}
