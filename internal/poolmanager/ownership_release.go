package poolmanager

import (
	"context"
	"errors"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// releaseTimeout bounds the first part of a hand-over: the results of orders in flight
// and the last saves. The release itself has StoreTimeout.
const releaseTimeout = 1500 * time.Millisecond

// release hands the pool over. It first waits for the results of orders in flight and
// saves all progress, as far as releaseTimeout allows.
func (o *poolOwnership) release() {
	ctx, cancel := context.WithTimeout(o.ctx, releaseTimeout)
	defer cancel()
	o.ordersInFlight.wait(ctx)
	o.saveAll(ctx)
	o.cancel()
	o.rosterLoopDone.Wait()
	final, stop := context.WithTimeout(context.WithoutCancel(ctx), o.timing.StoreTimeout)
	defer stop()
	if err := o.releaseOwnership(final); err != nil {
		o.log.Info("pool not released, its ownership ends with the lease", telemetry.ProblemFields(err)...)
	}
}

// releaseUnloaded hands over a pool whose load was ended by the request to do so. The
// roster that it leaves names all workers that the last owner's did.
func (o *poolOwnership) releaseUnloaded() {
	if o.isLeaving() && o.ctx.Err() == nil && o.pool != nil {
		o.release()
	}
}

// saveAll saves all progress, and waits for the saves that others have begun, until ctx
// ends.
func (o *poolOwnership) saveAll(ctx context.Context) {
	for ctx.Err() == nil {
		if pending, _ := o.pool.SavePending(); pending {
			if !o.saveOnce(ctx) {
				sleep(ctx, o.Clock, minRetryDelay)
			}
			continue
		}
		o.savesInFlight.wait(ctx)
		if pending, _ := o.pool.SavePending(); !pending { // none of them failed
			return
		}
	}
}

// releaseOwnership writes the last roster and deletes the owner's key in one
// transaction. It tries again until the outcome is known or ctx ends.
func (o *poolOwnership) releaseOwnership(ctx context.Context) error {
	roster := o.pool.Roster(o.Clock.Now())
	roster.Released = true
	value, err := poolstore.EncodeRoster(&roster)
	if err != nil {
		return err
	}
	key := poolstore.RosterKey(o.service)
	txn := store.Txn{Writes: []store.Write{{Key: key, Value: value}}, Deletes: []string{poolstore.OwnerKey(o.service)}}
	for {
		_, err := o.commitAsOwner(ctx, txn, key)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && !o.stillOwner(conflict) {
			return nil // an earlier copy was applied, or the pool was lost
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, o.Clock, minRetryDelay)
	}
}
