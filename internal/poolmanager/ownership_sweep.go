package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// sweepInterval is how often states past their retention are deleted. It is long, as
// each sweep reads all states of the pool.
const sweepInterval = time.Minute

// sweepBatch is how many jobs one transaction deletes: each takes a condition and up
// to three deletes.
const sweepBatch = (store.MaxTxnEntries - 1) / 4

// sweepLoop deletes all that is stored of jobs past their retention, until the
// ownership ends.
func (t *poolOwnership) sweepLoop() {
	for t.ctx.Err() == nil {
		sleep(t.ctx, t.Clock, sweepInterval)
		if !t.isValid() {
			continue
		}
		if err := t.sweep(t.ctx); err != nil && t.ctx.Err() == nil {
			t.log.Info("jobs past their retention not deleted, trying again with the next sweep", telemetry.ProblemFields(err)...)
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
	old := t.expired(items)
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

// expired returns the states of jobs that ended longer ago than the retention.
func (t *poolOwnership) expired(items []store.Item) []store.Item {
	var old []store.Item
	for _, item := range items {
		state, err := poolstore.DecodeState(item.Key, item.Value)
		if err != nil {
			t.invalid.logOnce(t.log, "progress of a job not understood, the job is not deleted", &item, err)
			continue
		}
		if !state.EndedAt.IsZero() && t.Clock.Now().Sub(state.EndedAt) > t.timing.Retention {
			old = append(old, item)
		}
	}
	return old
}
