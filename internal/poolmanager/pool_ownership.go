package poolmanager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/store"
)

// poolOwnership is one period in which this entry owns one pool, or the machine
// controller role. mu guards pollers.
type poolOwnership struct {
	*Manager
	service        string
	token          int64 // fencing token: the revision of the owner's key
	ownedSince     time.Time
	lease          int64 // to which the owner's key is attached
	log            *zap.Logger
	ctx            context.Context // ends with the ownership
	cancel         context.CancelFunc
	previousToken  int64         // fencing token of the last owner if that was an earlier incarnation of this entry; else 0
	done           chan struct{} // closed when the ownership has ended
	leaving        chan struct{} // closed when the pool has to be handed over
	leaveOnce      sync.Once
	requests       *shard.Cell[requestView]
	workers        *shard.Cell[map[string]scheduler.WorkerInfo] // of all pools, by key; maps are immutable once shared; nil: not read yet
	pool           *scheduler.Pool                              // set before loaded is true
	loaded         atomic.Bool
	plan           signal // a new plan is needed
	save           signal // there is progress to save
	rosterChanged  signal // the roster may have changed
	confirm        signal // machines may have been emptied
	orders         sync.WaitGroup
	ordersInFlight inFlight // starts and stops without a result yet
	own            ownKeys
	roster         []byte                  // as last saved; nil: unknown; only one goroutine at a time uses it
	previousRoster *scheduler.WorkerRoster // as stored by the last owner; nil: not read yet
	rosterLoopDone sync.WaitGroup          // rosterLoop

	mu      sync.Mutex
	pollers map[string]*poller // by worker
}

func newPoolOwnership(k *Manager, service string, token, lease int64) *poolOwnership {
	t := &poolOwnership{
		Manager: k, service: service, token: token, lease: lease, ownedSince: k.Clock.Now(),
		log:  k.Log.With(zap.String("service", service), zap.Int64("token", token)),
		done: make(chan struct{}), leaving: make(chan struct{}), plan: newSignal(), save: newSignal(), confirm: newSignal(), rosterChanged: newSignal(),
		pollers: make(map[string]*poller), requests: shard.NewCell(newRequestView()), workers: shard.NewCell(map[string]scheduler.WorkerInfo(nil)),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// isValid reports whether this entry certainly still owns the pool. It is checked
// before every order.
func (t *poolOwnership) isValid() bool { return t.ctx.Err() == nil && t.session.isValid(t.lease) }

// lose ends the ownership because another entry owns the pool or may acquire it.
func (t *poolOwnership) lose(why string) {
	if t.ctx.Err() == nil {
		t.log.Warn("pool lost", zap.String("why", why), zap.Duration("owned", t.Clock.Now().Sub(t.ownedSince)), zap.Duration("since_renewal", t.session.sinceRenewal()))
	}
	t.cancel()
}

// handOver requests that the pool is handed over. It does not wait for that.
func (t *poolOwnership) handOver() { t.leaveOnce.Do(func() { close(t.leaving) }) }

// guard ends the ownership when the lease is dropped or the store has a later owner.
func (t *poolOwnership) guard() {
	_, ended, ok := t.session.current()
	if !ok && !t.session.isValid(t.lease) {
		ended = nil
	}
	for {
		view, changed := t.fleet.Watch()
		owner, known := view.owners[t.service]
		if known && owner.token > t.token {
			t.lose("the store has a later owner")
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-ended:
			t.lose("the lease has ended")
			return
		case <-changed:
		}
	}
}

// guardedTxn returns a transaction that is committed only while the owner's key is
// that of this ownership.
func (t *poolOwnership) guardedTxn() store.Txn {
	return store.Txn{Expected: []store.Expectation{{Key: poolstore.OwnerKey(t.service), Revision: t.token}}}
}
