package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform"
)

// ledgerForgetInterval is the time between two removals of the state of idle
// shards of the ledger.
const ledgerForgetInterval = time.Minute

// ledgerCloseTimeout bounds the wait for outcomes at shutdown.
const ledgerCloseTimeout = 5 * time.Second

func (e *Entry) newLedger() *ledger.Ledger {
	store := e.platform.WithPurpose(platform.PurposeLedger)
	l := ledger.New(ledgerstore.New(store), ledgerstore.NewAnswers(store, store, e.clock), &ledgerPeers{entry: e}, e.clock, ledger.DefaultOptions(e.settings.ID))
	e.metrics.Publish("ledger", func() any { return l.Counters().Snapshot() })
	return l
}

// serveLedger executes operations that another entry forwarded.
func (e *Entry) serveLedger(ctx context.Context, m *wire.LedgerOperations) (*wire.Response, error) {
	operations, err := wire.ToLedgerRecords(m.GetOperations())
	if err != nil {
		return nil, err
	}
	replies := e.ledger.Serve(ctx, operations)
	return &wire.Response{Body: &wire.Response_Ledger{Ledger: wire.FromLedgerReplies(replies)}}, nil
}

// forgetIdleLedger drops the state of the ledger's idle shards until ctx ends.
func (e *Entry) forgetIdleLedger(ctx context.Context) {
	for {
		select {
		case <-e.clock.After(ledgerForgetInterval):
			e.ledger.DropIdle()
		case <-ctx.Done():
			return
		}
	}
}

// closeLedger waits until pending outcomes are stored, at most
// ledgerCloseTimeout.
func (e *Entry) closeLedger() {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerCloseTimeout)
	defer cancel()
	if err := e.ledger.Close(ctx); err != nil {
		e.log.Warn("not all outcomes were stored before the shutdown; their keys stay in doubt", zap.Error(err))
	}
}
