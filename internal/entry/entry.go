package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/front"
	"persimmonbay/internal/guard"
	"persimmonbay/internal/inventory"
	"persimmonbay/internal/ledger"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/readbudget"
	"persimmonbay/internal/request"
	"persimmonbay/internal/routing"
	"persimmonbay/internal/settings"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upstream"
)

// peerTimeout bounds one call to another entry.
const peerTimeout = 2 * time.Second

// headerTimeout bounds the reading of the header of a caller's or operator's
// request.
const headerTimeout = 10 * time.Second

// Entry is one entry process. Each of its loops is a goroutine; the state that
// they share is in sharded containers, each with its own locks.
type Entry struct {
	settings  settings.Entry
	log       *zap.Logger
	clock     clockwork.Clock
	listeners listeners
	machine   readbudget.Machine
	guard     *guard.Guard

	platform  *platform.Client
	configs   *configstore.Store
	inForce   *configuration.InForce
	members   *membership.Table
	beats     *membership.Heartbeats
	routes    *routing.Table
	inventory *inventory.Inventory
	changes   *shard.Cell[uint64] // counts the changes that are to be sent to the peers at once
	health    *shard.Cell[health]
	newest    *shard.Cell[peerVersion] // the newest version that a peer has reported

	incarnation uint64    // grows with every start of this entry
	startedAt   time.Time // with the reading of the steady clock

	peers   *peer.Client
	sender  *upstream.Sender
	metrics *telemetry.Metrics
	ledger  *ledger.Ledger
	control *control
	jobs    *jobPlacer
	slots   *slotManager
}

// New opens the listeners of an entry and connects its parts; Run must follow.
// It fails when a listener cannot be opened.
func New(s settings.Entry, clock clockwork.Clock, log *zap.Logger) (*Entry, error) {
	opened, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	startedAt := clock.Now()
	client := platform.NewClient(s.Platform.Address, s.Platform.Timeout)
	e := &Entry{
		settings:  s,
		log:       log.With(zap.String("entry", s.ID)),
		clock:     clock,
		listeners: opened,
		platform:  client,
		configs:   configstore.New(client.WithPurpose(platform.PurposeConfiguration), clock),
		inForce:   configuration.NewInForce(),
		members:   membership.NewTable(membership.EntryID(s.ID)),
		beats:     membership.NewHeartbeats(),
		routes:    routing.NewTable(),
		inventory: inventory.New(),
		changes:   shard.NewCell[uint64](0),
		health:    shard.NewCell(health{}),
		newest:    shard.NewCell(peerVersion{}),

		incarnation: uint64(startedAt.UnixNano()),
		startedAt:   startedAt,

		peers:   peer.NewClient(s.ID, []byte(s.Secrets.PeerKey), peerTimeout),
		metrics: telemetry.NewMetrics(),
	}
	e.sender = upstream.NewSender(s.Limits.MaxBufferedAnswerBytes, clock, e.upstreamLeaving)
	e.control = newControl(e)
	e.jobs = newJobPlacer(e)
	e.slots = newSlotManager(e)
	e.machine = readbudget.Machine{MemoryBytes: int64(s.Machine.MemoryMB) << 20, Descriptors: s.Machine.Descriptors}
	limits := readbudget.Limits{HeadBytes: maxHeaderBytes, BodyBytes: s.Limits.MaxBodyBytes, HeadTime: headerTimeout}
	e.guard = guard.New(max(e.machine.Bytes(), 2*s.Limits.MaxBodyBytes), func() readbudget.Limits { return limits }, clock, log)
	e.metrics.Publish("clients", func() any { return e.guard.Counts() })
	e.metrics.Publish("platformCalls", func() any { return client.Counts().Snapshot() })
	e.metrics.Publish("configurationVersion", func() any { return e.inForce.Get().Version })
	e.ledger = e.newLedger()
	return e, nil
}

// Addresses returns the addresses on which the entry listens.
func (e *Entry) Addresses() Addresses { return e.listeners.addresses() }

// Run serves until ctx ends and then stops gracefully: the entry becomes not
// ready, its listeners stay open until the load balancer has stopped sending,
// requests in flight end, the lease is revoked and connections are closed last.
// It returns the first error of a server, or that of the shutdown.
func (e *Entry) Run(ctx context.Context) error {
	e.settings.Machine.LimitMemory()
	loopsCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var loops sync.WaitGroup
	for _, loop := range e.loops() {
		loops.Go(func() { loop(loopsCtx) })
	}
	callers := e.guard.Protect(&http.Server{Handler: e.closeConnectionsWhenLeaving(e.callersHandler())})
	operators := e.operatorServer()
	failed := make(chan error, 3)
	go func() { failed <- callers.Serve(e.guard.Listener(e.listeners.callers, e.machine.Callers())) }()
	go func() { failed <- operators.Serve(e.guard.Listener(e.listeners.operators, e.machine.Side())) }()
	loops.Go(func() {
		if err := peer.NewServer(e, []byte(e.settings.Secrets.PeerKey), e.log).Serve(loopsCtx, e.guard.Listener(e.listeners.peers, e.machine.Peers())); err != nil {
			failed <- err
		}
	})
	addresses := e.Addresses()
	e.log.Info("listening", zap.String("callers", addresses.Callers), zap.String("operators", addresses.Operators), zap.String("peers", addresses.Peers))
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = e.drain(callers)
	}
	_ = callers.Close()
	e.closeLedger()
	stopLoops()
	loops.Wait()
	closeOperators(operators)
	e.sender.Close()
	e.peers.Close()
	e.platform.Close()
	e.log.Info("stopped")
	return err
}

func (e *Entry) callersHandler() http.Handler {
	requests := &request.Server{
		InForce:     e.inForce,
		Dispatcher:  e.control.work.wrap(e.slots.dispatcher(), e.control.router.refreshIfStale),
		Sender:      e.sender,
		Ledger:      e.ledger,
		RetryBudget: request.NewRetryBudget(request.RetryShare),
		Clock:       e.clock,
	}
	return front.NewServer(requests, e.metrics, e.clock, e.settings.Limits.MaxBodyBytes, e.log).Handler()
}

// loops returns the functions that run beside the servers until their context
// ends.
func (e *Entry) loops() []func(context.Context) {
	return []func(context.Context){
		e.newRegistrar().run,
		e.watchMembers().Run,
		e.watchConfiguration().Run,
		e.heartbeat,
		e.fetchNewerVersions,
		e.pollInstances,
		e.slots.run,
		e.watchInstances,
		e.forgetIdleLedger,
		e.control.run,
		e.jobs.run,
	}
}
