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
	"persimmonbay/internal/inventory"
	"persimmonbay/internal/ledger"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/request"
	"persimmonbay/internal/routing"
	"persimmonbay/internal/settings"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upstream"
)

// peerTimeout bounds one call to another entry.
const peerTimeout = 2 * time.Second

// headerTimeout bounds the reading of a caller's or operator's header.
const headerTimeout = 10 * time.Second

// Entry is one entry instance. Each of its loops is a goroutine; what they
// share is in the sharded containers it holds.
type Entry struct {
	settings  settings.Entry
	log       *zap.Logger
	clock     clockwork.Clock
	listeners listeners

	platform  *platform.Client
	configs   *configstore.Store
	inForce   *configuration.InForce
	members   *membership.Table
	beats     *membership.Heartbeats
	routes    *routing.Table
	inventory *inventory.Inventory
	changed   *shard.Cell[uint64] // rises when peers should hear of a change at once
	health    *shard.Cell[health]
	sighted   *shard.Cell[sighting] // the newest version that a peer told of

	incarnation uint64 // rises with every start of this entry

	peers   *peer.Client
	sender  *upstream.Sender
	metrics *telemetry.Metrics
	ledger  *ledger.Ledger
	control *control
	jobs    *jobPlacer
	slots   *slotKeeper
}

// New opens the listeners of an entry. Run must follow.
func New(s settings.Entry, clock clockwork.Clock, log *zap.Logger) (*Entry, error) {
	opened, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	client := platform.NewClient(s.Platform.Address, s.Platform.Timeout)
	e := &Entry{
		settings:  s,
		log:       log.With(zap.String("entry", s.ID)),
		clock:     clock,
		listeners: opened,
		platform:  client,
		configs:   configstore.New(client.For(platform.PurposeConfiguration), clock),
		inForce:   configuration.NewInForce(),
		members:   membership.NewTable(membership.EntryID(s.ID)),
		beats:     membership.NewHeartbeats(),
		routes:    routing.NewTable(),
		inventory: inventory.New(),
		changed:   shard.NewCell[uint64](0),
		health:    shard.NewCell(health{}),
		sighted:   shard.NewCell(sighting{}),

		incarnation: uint64(clock.Now().UnixNano()),

		peers:   peer.NewClient(s.ID, []byte(s.Secrets.PeerKey), peerTimeout),
		metrics: telemetry.NewMetrics(),
	}
	e.sender = upstream.NewSender(s.Limits.WholeBytes, clock, e.upstreamLeaving)
	e.control = newControl(e)
	e.jobs = newJobPlacer(e)
	e.slots = newSlotKeeper(e)
	e.metrics.Publish("platformCalls", func() any { return client.Counts().Snapshot() })
	e.metrics.Publish("configurationVersion", func() any { return e.inForce.Get().Version })
	e.ledger = e.newLedger()
	return e, nil
}

// Addresses returns where the entry listens.
func (e *Entry) Addresses() Addresses { return e.listeners.addresses() }

// Run serves until ctx ends and then stops gracefully: not ready first,
// listeners open until the balancer has noticed, requests in flight to their
// end, the lease handed back, connections closed last.
func (e *Entry) Run(ctx context.Context) error {
	loopsCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var loops sync.WaitGroup
	for _, loop := range e.loops() {
		loops.Go(func() { loop(loopsCtx) })
	}
	callers := &http.Server{Handler: e.tellClosing(e.callersHandler()), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	operators := e.operatorServer()
	failed := make(chan error, 3)
	go func() { failed <- callers.Serve(e.listeners.callers) }()
	go func() { failed <- operators.Serve(e.operatorListener()) }()
	loops.Go(func() {
		if err := peer.NewServer(e, []byte(e.settings.Secrets.PeerKey), e.log).Serve(loopsCtx, e.listeners.peers); err != nil {
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
		InForce:    e.inForce,
		Dispatcher: e.control.work.wrap(e.slots.dispatcher(), e.control.router.refreshOld),
		Sender:     e.sender,
		Ledger:     e.ledger,
		Retries:    request.NewRetryBudget(request.RetryShare),
		Clock:      e.clock,
	}
	return front.NewServer(requests, e.metrics, e.clock, e.settings.Limits.BodyBytes, e.log).Handler()
}

// loops returns everything that runs besides serving.
func (e *Entry) loops() []func(context.Context) {
	return []func(context.Context){
		e.newRegistrar().run,
		e.watchMembers().Run,
		e.watchConfiguration().Run,
		e.heartbeat,
		e.chase,
		e.pollInstances,
		e.slots.run,
		e.watchInstances,
		e.forgetIdleLedger,
		e.control.run,
		e.jobs.run,
	}
}
