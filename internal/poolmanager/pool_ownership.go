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

// poolOwnership is the time for which this entry owns one pool. mu guards pollers.
type poolOwnership struct {
	*Manager
	service    string
	token      int64 // fencing token: the store revision of the ownership
	ownedSince time.Time
	lease      int64
	log        *zap.Logger
	ctx        context.Context // ends with the ownership
	cancel     context.CancelFunc
	past       int64 // fencing token of the last owner if that was an earlier incarnation of this entry; else 0
	done       chan struct{}
	leaving    chan struct{} // closed when the pool is to be handed over
	leave      sync.Once
	requests   *shard.Cell[requestView]
	workers    *shard.Cell[map[string]scheduler.WorkerInfo] // of all pools; maps are replaced, never changed; nil: not read yet
	pool       *scheduler.Pool                              // set once loaded is
	loaded     atomic.Bool
	plan       signal // plan again
	save       signal // there is progress to save
	rostered   signal // the roster may have changed
	confirm    signal // machines may have been emptied
	orders     sync.WaitGroup
	started    inFlight // starts and stops on their way
	own        ownKeys
	roster     []byte                  // as last saved; only one goroutine at a time uses it
	left       *scheduler.WorkerRoster // what the last owner left; nil: not read yet
	rosters    sync.WaitGroup          // the loop that keeps the roster

	mu      sync.Mutex
	pollers map[string]*poller // by worker
}

func newPoolOwnership(k *Manager, service string, token, lease int64) *poolOwnership {
	t := &poolOwnership{
		Manager: k, service: service, token: token, lease: lease, ownedSince: k.Clock.Now(),
		log:  k.Log.With(zap.String("service", service), zap.Int64("token", token)),
		done: make(chan struct{}), leaving: make(chan struct{}), plan: newSignal(), save: newSignal(), confirm: newSignal(), rostered: newSignal(),
		pollers: make(map[string]*poller), requests: shard.NewCell(newRequestView()), workers: shard.NewCell(map[string]scheduler.WorkerInfo(nil)),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// holds reports whether the pool is surely still ours: every order asks.
func (t *poolOwnership) holds() bool { return t.ctx.Err() == nil && t.session.holds(t.lease) }

// lose ends the ownership because another entry has the pool.
func (t *poolOwnership) lose(why string) {
	if t.ctx.Err() == nil {
		t.log.Warn("pool lost", zap.String("why", why), zap.Duration("owned", t.Clock.Now().Sub(t.ownedSince)), zap.Duration("since_renewal", t.session.sinceRenewal()))
	}
	t.cancel()
}

// handOver asks that the pool is given away.
func (t *poolOwnership) handOver() { t.leave.Do(func() { close(t.leaving) }) }

// guard ends the ownership when the lease is given up or the store names another
// owner.
func (t *poolOwnership) guard() {
	_, ended, ok := t.session.current()
	if !ok && !t.session.holds(t.lease) {
		ended = nil
	}
	for {
		view, changed := t.fleet.Watch()
		owner, known := view.owners[t.service]
		if known && owner.token > t.token {
			t.lose("the store names a later owner")
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

// guardedTxn is a change that is made only while the pool is ours.
func (t *poolOwnership) guardedTxn() store.Txn {
	return store.Txn{Expected: []store.Expectation{{Key: poolstore.OwnerKey(t.service), Revision: t.token}}}
}
