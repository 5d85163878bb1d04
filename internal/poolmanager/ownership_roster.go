package poolmanager

import (
	"bytes"
	"context"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// rosterInterval is how often the roster is compared with the stored one. It is short,
// so that a next owner does not wait for a worker that was down long before.
const rosterInterval = 250 * time.Millisecond

// rosterLoop keeps the stored roster up to date, until the ownership ends or the pool
// is handed over. The roster shows a next owner which workers may run tasks of this
// one.
func (o *poolOwnership) rosterLoop() {
	defer o.rosterLoopDone.Done()
	for o.ctx.Err() == nil && !o.isLeaving() {
		timer := o.Clock.NewTimer(rosterInterval)
		select {
		case <-o.ctx.Done():
		case <-o.leaving:
		case <-o.rosterChanged:
		case <-timer.Chan():
		}
		timer.Stop()
		ctx, cancel := context.WithTimeout(o.ctx, o.timing.StoreTimeout)
		if err := o.writeRoster(ctx); err != nil && o.ctx.Err() == nil {
			o.log.Info("roster of the pool not written, trying again", telemetry.ProblemFields(err)...)
		}
		cancel()
	}
}

// writeRoster writes the pool's roster, unless the stored one is the same. After
// an error, the stored roster counts as unknown.
func (o *poolOwnership) writeRoster(ctx context.Context) error {
	roster := o.pool.Roster(o.Clock.Now())
	value, err := poolstore.EncodeRoster(&roster)
	if err != nil {
		return err
	}
	if bytes.Equal(value, o.roster) {
		o.pool.RosterSaved(roster)
		return nil
	}
	key := poolstore.RosterKey(o.service)
	if _, err := o.commitAsOwner(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}}, key); err != nil {
		o.roster = nil // it is not known which one is stored
		return err
	}
	o.roster = value
	o.pool.RosterSaved(roster)
	o.plan.send()
	return nil
}
