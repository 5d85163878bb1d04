package poolmanager

import (
	"bytes"
	"context"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// rosterEvery is how often the roster is compared with what was kept: a worker
// that was down long before its owner is lost holds up nobody.
const rosterEvery = 250 * time.Millisecond

// rosterLoop keeps which workers may hold tasks of this owner, for the next,
// until the ownership ends or the pool is handed over.
func (t *poolOwnership) rosterLoop() {
	defer t.rosters.Done()
	for t.ctx.Err() == nil && !t.isLeaving() {
		timer := t.Clock.NewTimer(rosterEvery)
		select {
		case <-t.ctx.Done():
		case <-t.leaving:
		case <-t.rostered:
		case <-timer.Chan():
		}
		timer.Stop()
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.StoreTimeout)
		if err := t.writeRoster(ctx); err != nil && t.ctx.Err() == nil {
			t.log.Info("roster not kept yet", telemetry.ProblemFields(err)...)
		}
		cancel()
	}
}

// writeRoster keeps the pool's roster, unless the same was kept last.
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
	if _, err := t.commitOwn(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}}, key); err != nil {
		t.roster = nil // nobody knows which one is kept
		return err
	}
	t.roster = value
	t.pool.RosterSaved(roster)
	t.plan.send()
	return nil
}
