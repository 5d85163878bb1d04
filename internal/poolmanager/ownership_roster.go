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
func (t *poolOwnership) rosterLoop() {
	defer t.rosterLoopDone.Done()
	for t.ctx.Err() == nil && !t.isLeaving() {
		timer := t.Clock.NewTimer(rosterInterval)
		select {
		case <-t.ctx.Done():
		case <-t.leaving:
		case <-t.rosterChanged:
		case <-timer.Chan():
		}
		timer.Stop()
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.StoreTimeout)
		if err := t.writeRoster(ctx); err != nil && t.ctx.Err() == nil {
			t.log.Info("roster of the pool not written, trying again", telemetry.ProblemFields(err)...)
		}
		cancel()
	}
}

// writeRoster writes the pool's roster, unless the stored one is the same. After
// an error, the stored roster counts as unknown.
func (t *poolOwnership) writeRoster(ctx context.Context) error {
	roster := t.pool.Roster(t.Clock.Now())
	value, err := poolstore.EncodeRoster(&roster)
	if err != nil {
		return err
	}
	if bytes.Equal(value, t.roster) {
		t.pool.RosterSaved(roster)
		return nil
	}
	key := poolstore.RosterKey(t.service)
	if _, err := t.commitAsOwner(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}}, key); err != nil {
		t.roster = nil // it is not known which one is stored
		return err
	}
	t.roster = value
	t.pool.RosterSaved(roster)
	t.plan.send()
	return nil
}
