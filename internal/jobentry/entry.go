package jobentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"persimmonbay/internal/guard"
	"persimmonbay/internal/identity"
	"persimmonbay/internal/intake"
	"persimmonbay/internal/keycheck"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/poolmanager"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/readbudget"
	"persimmonbay/internal/settings"
	"persimmonbay/internal/telemetry"
	"persimmonbay/platform"
)

// Entry is one entry process that accepts jobs and schedules those of the pools
// that it owns.
type Entry struct {
	settings settings.JobEntry
	clock    clockwork.Clock
	log      *zap.Logger
	config   *poolconfig.InForce
	manager  *poolmanager.Manager
	machine  readbudget.Machine
	guard    *guard.Guard
	callers  *http.Server
	probes   *http.Server
	draining atomic.Bool
}

// New returns an entry that is not running yet. It fails when the settings name an
// unknown codec.
func New(s settings.JobEntry, clock clockwork.Clock, log *zap.Logger) (*Entry, error) {
	codec, err := platform.NewCodec(s.Platform.Codec)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, clock: clock, log: log, config: poolconfig.NewInForce()}
	store := platform.NewStore(s.Platform.Store, codec)
	dependencies := poolmanager.Dependencies{
		Store: store, Workers: platform.NewWorkers(codec, clock, log), Directory: platform.NewDirectory(codec),
		Operators: platform.NewOperators(codec), Clock: clock, SinceBoot: sinceBoot, Log: log, Metrics: telemetry.NewMetrics(),
	}
	if s.Platform.Advice != "" {
		dependencies.Adviser = platform.NewAdviser(s.Platform.Advice, codec, clock)
	}
	if s.Platform.Machines != "" {
		dependencies.Machines = platform.NewMachines(s.Platform.Machines, codec)
	}
	policy := identity.Policy{FailClosed: s.Identity.FailClosed, RevokeWithin: s.Identity.RevokeWithin}
	timing := timingOf(&s.Timing, s.Machine.Cores, s.Placement.SpreadFactor)
	timing.ConfirmAfter = policy.ConfirmAfter()
	e.manager = poolmanager.New(s.ID, s.Listen.Peers, s.Machine.Cores, dependencies, timing, e.config)
	keys := keycheck.New(policy, e.config, e.manager, sinceBoot, log)
	dependencies.Metrics.Publish("identity", func() any { return keys.Counts() })
	e.machine = readbudget.Machine{MemoryBytes: int64(s.Machine.MemoryMB) << 20, Descriptors: s.Machine.Descriptors}
	e.guard = guard.New(e.machine.Bytes(), e.requestLimits, clock, log)
	dependencies.Metrics.Publish("clients", func() any { return e.guard.Counts() })
	dependencies.Metrics.Publish("pools", func() any { return e.manager.Counts() })
	dependencies.Metrics.Publish("quota", func() any { return e.manager.Quotas() })
	dependencies.Metrics.Publish("teams", func() any { return e.manager.TeamCounts() })
	dependencies.Metrics.Publish("places", func() any { return e.manager.PlaceWaits() })
	dependencies.Metrics.Publish("workers", func() any { return e.manager.AnswerTimes() })
	// Callers' calls have connections of their own: the entry's lease and its pools must
	// not wait for them.
	in := intake.New(platform.NewStore(s.Platform.Store, codec), e.config, ownerNotifier{e.manager}, clock, log)
	dependencies.Metrics.Publish("door", func() any { return in.DoorCounts() })
	e.callers = e.guard.Protect(&http.Server{Handler: platform.NewIngress(in, keys, e.config, codec, clock, log).Handler()})
	e.probes = e.guard.Protect(&http.Server{Handler: platform.ReadinessHandler(e.Ready, dependencies.Metrics)})
	return e, nil
}

const (
	// storeResponseWithin is the age up to which the store's last answer makes this
	// entry ready: two waits of a watch, and the time of an answer.
	storeResponseWithin = 2500 * time.Millisecond
	// balancerDelay is the time after which the load balancer sends no new
	// connections: two probes, a second apart, and the time of one more.
	balancerDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace period left for the exit of the process.
	exitReserve = 700 * time.Millisecond
)

// Ready reports whether the load balancer may send connections to this entry.
func (e *Entry) Ready() bool {
	responded := e.manager.LastStoreResponse()
	return !e.draining.Load() && e.config.Get() != nil && !responded.IsZero() && e.clock.Now().Sub(responded) < storeResponseWithin
}

// Run serves until ctx ends, then drains. It returns the first error of a listener
// or server.
func (e *Entry) Run(ctx context.Context) error {
	e.settings.Machine.LimitMemory()
	callers, err := listen(e.settings.Listen.Callers)
	if err != nil {
		return err
	}
	probes, err := listen(e.settings.Listen.Readiness)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	e.log.Info("started", zap.String("entry", e.settings.ID), zap.String("callers", e.settings.Listen.Callers))
	var group errgroup.Group
	group.Go(func() error { return serve(e.callers, e.guard.Listener(callers, e.machine.Callers())) })
	group.Go(func() error { return serve(e.probes, e.guard.Listener(probes, e.machine.Side())) })
	group.Go(func() error { e.manager.Run(ctx); return nil })
	group.Go(func() error { return e.servePeers(ctx) })
	group.Go(func() error { return e.drain(ctx) })
	err = group.Wait()
	e.log.Info("stopped", zap.String("entry", e.settings.ID))
	return err
}

// drain waits for the end of ctx, then stops serving in an order that cuts off no
// call: it reports the entry as not ready, waits until the load balancer sends no
// new connections, and shuts the servers down after the calls in flight.
func (e *Entry) drain(ctx context.Context) error {
	<-ctx.Done()
	e.log.Info("draining")
	e.draining.Store(true)
	e.callers.SetKeepAlivesEnabled(false)
	started := e.clock.Now()
	e.clock.Sleep(min(balancerDelay, e.settings.Timing.Grace/2))
	left := max(e.settings.Timing.Grace-exitReserve-e.clock.Now().Sub(started), 0)
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	return errors.Join(e.callers.Shutdown(final), e.probes.Shutdown(final))
}

// requestLimits returns the limits of callers' requests in the configuration in force.
func (e *Entry) requestLimits() readbudget.Limits {
	config := e.config.Get()
	if config == nil {
		return readbudget.Limits{}
	}
	l := config.Limits
	return readbudget.Limits{HeadBytes: l.MaxHeaderBytes, BodyBytes: int64(l.MaxBodyBytes), HeadTime: l.HeaderTimeout, IdleTime: l.IdleTimeout}
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, problem.Wrap(problem.Unavailable, problem.StepListen, address, err)
	}
	return l, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return problem.Wrap(problem.Internal, problem.StepListen, l.Addr().String(), err)
	}
	return nil
}
