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
	service        string // of the pool, or machineControllerRole
	token          int64  // fencing token: the revision of the owner's key
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
	failed         atomic.Bool // an unexpected error has ended the ownership
	plan           signal      // a new plan is needed
	save           signal      // there is progress to save
	rosterChanged  signal      // the roster may have changed
	confirm        signal      // machines may have been emptied
	quotaWanted    signal      // a team has no room left in its grant
	goroutines     sync.WaitGroup
	ordersInFlight inFlight        // starts and stops without a result yet
	savesInFlight  inFlight        // batches that saveLoop has claimed, without a result yet
	own            ownKeys         // revisions of the keys that only the pool's owner writes
	roster         []byte          // as stored, encoded; nil: unknown; only one goroutine at a time uses it
	claimedOffers  map[string]bool // machines of the pool that were claimed for a move when the offers were read; not changed after that
	loading        poolLoad        // only the goroutine that loads the pool uses it
	rereadBegan    time.Time       // when stateReread was begun
	stateReread    *rangeRead      // for resetWork, which one goroutine runs; nil: none in progress
	rosterLoopDone sync.WaitGroup  // done when rosterLoop has returned
	lines          *runLines

	mu      sync.Mutex
	pollers map[string]*poller // by worker
}

func newPoolOwnership(m *Manager, service string, token, lease int64) *poolOwnership {
	o := &poolOwnership{
		Manager: m, service: service, token: token, lease: lease, ownedSince: m.Clock.Now(),
		log:  m.Log.With(zap.String("service", service), zap.Int64("token", token)),
		done: make(chan struct{}), leaving: make(chan struct{}), plan: newSignal(), save: newSignal(), confirm: newSignal(), rosterChanged: newSignal(), quotaWanted: newSignal(),
		pollers: make(map[string]*poller), requests: shard.NewCell(newRequestView()), workers: shard.NewCell(map[string]scheduler.WorkerInfo(nil)),
	}
	o.lines = newRunLines(o.log, m.Clock)
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// isValid reports whether this entry certainly still owns the pool. It is checked
// before every order.
func (o *poolOwnership) isValid() bool { return o.ctx.Err() == nil && o.session.isValid(o.lease) }

// lose ends the ownership because another entry owns the pool or may acquire it.
func (o *poolOwnership) lose(why string) {
	if o.ctx.Err() == nil {
		o.log.Warn("pool lost", zap.String("why", why), zap.Duration("owned", o.Clock.Now().Sub(o.ownedSince)), zap.Duration("since_renewal", o.session.sinceRenewal()))
	}
	o.cancel()
}

// requestHandOver requests that the pool is handed over. It does not wait for that.
func (o *poolOwnership) requestHandOver() { o.leaveOnce.Do(func() { close(o.leaving) }) }

// guard ends the ownership when the lease is dropped or the store names a later
// owner.
func (o *poolOwnership) guard() {
	ended := o.session.dropped(o.lease)
	for {
		view, changed := o.fleet.Watch()
		owner, known := view.owners[o.service]
		if known && owner.token > o.token {
			o.lose("the store names a later owner")
			return
		}
		select {
		case <-o.ctx.Done():
			return
		case <-ended:
			o.lose("the lease has ended")
			return
		case <-changed:
		}
	}
}

// guardedTxn returns a transaction that is committed only while the owner's key is
// that of this ownership.
func (o *poolOwnership) guardedTxn() store.Txn {
	return store.Txn{Expected: []store.Expectation{{Key: poolstore.OwnerKey(o.service), Revision: o.token}}}
}
