package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/shard"
	"persimmonbay/internal/store"
	"persimmonbay/internal/work"
	"persimmonbay/internal/workstore"
)

// tenure is the time for which this entry owns one pool. mu guards pollers.
type tenure struct {
	*Keeper
	service  string
	token    int64 // fencing token: the store revision of the ownership
	begun    time.Time
	lease    int64
	log      *zap.Logger
	ctx      context.Context // ends with the tenure
	cancel   context.CancelFunc
	past     int64 // fencing token of the last owner if that was an earlier incarnation of this entry; else 0
	done     chan struct{}
	leaving  chan struct{} // closed when the pool is to be handed over
	leave    sync.Once
	asked    *shard.Cell[askedView]
	workers  *shard.Cell[map[string]work.WorkerInfo] // of all pools; maps are replaced, never changed; nil: not read yet
	pool     *work.Pool                              // set once loaded is
	loaded   atomic.Bool
	plan     signal // plan again
	save     signal // there is progress to keep
	rostered signal // the roster may have changed
	confirm  signal // machines may have been emptied
	orders   sync.WaitGroup
	started  inFlight // starts and stops on their way
	own      ownKeys
	roster   []byte         // as last kept; only one goroutine at a time uses it
	left     *work.Roster   // what the last owner left; nil: not read yet
	rosters  sync.WaitGroup // the loop that keeps the roster

	mu      sync.Mutex
	pollers map[string]*poller // by worker
}

func newTenure(k *Keeper, service string, token, lease int64) *tenure {
	t := &tenure{
		Keeper: k, service: service, token: token, lease: lease, begun: k.Clock.Now(),
		log:  k.Log.With(zap.String("service", service), zap.Int64("token", token)),
		done: make(chan struct{}), leaving: make(chan struct{}), plan: newSignal(), save: newSignal(), confirm: newSignal(), rostered: newSignal(),
		pollers: make(map[string]*poller), asked: shard.NewCell(newAskedView()), workers: shard.NewCell(map[string]work.WorkerInfo(nil)),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// holds reports whether the pool is surely still ours: every order asks.
func (t *tenure) holds() bool { return t.ctx.Err() == nil && t.session.holds(t.lease) }

// lose ends the tenure because another entry has the pool.
func (t *tenure) lose(why string) {
	if t.ctx.Err() == nil {
		t.log.Warn("pool lost", zap.String("why", why), zap.Duration("owned", t.Clock.Now().Sub(t.begun)), zap.Duration("since_renewal", t.session.sinceRenewal()))
	}
	t.cancel()
}

// handOver asks that the pool is given away.
func (t *tenure) handOver() { t.leave.Do(func() { close(t.leaving) }) }

// guard ends the tenure when the lease is given up or the store names another
// owner.
func (t *tenure) guard() {
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
func (t *tenure) guardedTxn() store.Txn {
	return store.Txn{Expected: []store.Expectation{{Key: workstore.OwnerKey(t.service), Revision: t.token}}}
}
