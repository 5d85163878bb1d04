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
func (o *poolOwnership) sweepLoop() {
	for o.ctx.Err() == nil {
		sleep(o.ctx, o.Clock, sweepInterval)
		if !o.isValid() {
			continue
		}
		if err := o.sweep(o.ctx); err != nil && o.ctx.Err() == nil {
			o.log.Info("jobs past their retention not deleted, trying again with the next sweep", telemetry.ProblemFields(err)...)
		}
	}
}

func (o *poolOwnership) sweep(ctx context.Context) error {
	states := rangeRead{prefix: poolstore.StatePrefix(o.service)}
	if err := states.finish(ctx, o.Store); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	old := o.expired(states.items)
	for len(old) > 0 {
		txn := o.guardedTxn()
		n := min(len(old), sweepBatch)
		for _, item := range old[:n] {
			txn.Expected = append(txn.Expected, store.Expectation{Key: item.Key, Revision: item.Revision})
			txn.Deletes = append(txn.Deletes, item.Key)
			if id, ok := poolstore.ParseState(o.service, item.Key); ok {
				txn.Deletes = append(txn.Deletes, poolstore.JobKey(o.service, id), poolstore.CancelKey(o.service, id))
			}
		}
		if _, err := o.Store.Commit(limited, txn); err != nil {
			return err
		}
		old = old[n:]
	}
	return nil
}

// expired returns the states of jobs that ended longer ago than the retention.
func (o *poolOwnership) expired(items []store.Item) []store.Item {
	var old []store.Item
	for _, item := range items {
		state, err := poolstore.DecodeState(item.Key, item.Value)
		if err != nil {
			o.invalid.logOnce(o.log, "progress of a job not understood, the job is not deleted", &item, err)
			continue
		}
		if !state.EndedAt.IsZero() && o.Clock.Now().Sub(state.EndedAt) > o.timing.Retention {
			old = append(old, item)
		}
	}
	return old
}
