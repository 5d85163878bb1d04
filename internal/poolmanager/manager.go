package poolmanager

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/store"
)

// Manager holds this entry's lease and the pools it owns. mu guards ownerships.
type Manager struct {
	Dependencies
	entryID          string
	address          string  // on which other entries reach this one
	weight           float64 // what it can carry, in cores
	timing           Timing
	config           *poolconfig.InForce
	session          *session
	fleet            *shard.Cell[fleetView]
	waves            *shard.Cell[waveView]
	storeRespondedAt *shard.Cell[time.Time] // when the store last answered
	peers            *shard.Cell[Peers]     // nil until known
	changed          signal
	member           ownKeys // this entry's registration
	invalid          *invalidEntries

	mu         sync.Mutex
	ownerships map[string]*poolOwnership // by service
}

// New returns a manager for the entry called node, which other entries reach at
// address and which can carry weight, in cores.
func New(node, address string, weight float64, d Dependencies, bounds Timing, config *poolconfig.InForce) *Manager {
	return &Manager{
		Dependencies: d, entryID: node, address: address, weight: weight, timing: bounds, peers: shard.NewCell[Peers](nil), config: config,
		session:          newSession(d.Store, d.Clock, d.SinceBoot, d.Log, &bounds, node),
		fleet:            shard.NewCell(newFleetView()),
		waves:            shard.NewCell(waveView{}),
		storeRespondedAt: shard.NewCell(time.Time{}),
		changed:          newSignal(),
		invalid:          newInvalidEntries(),
		ownerships:       make(map[string]*poolOwnership),
	}
}

// Run keeps pools until ctx ends, then hands them over and returns.
func (k *Manager) Run(ctx context.Context) {
	following, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){k.session.run, k.watchFleet, k.watchOperators} {
		wg.Go(func() { loop(following) })
	}
	k.manage(ctx)
	k.handOver()
	stop()
	wg.Wait()
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.timing.StoreTimeout)
	defer cancel()
	k.session.end(final)
}

// LastStoreResponse returns when the store last answered; zero: never.
func (k *Manager) LastStoreResponse() time.Time { return k.storeRespondedAt.Get() }

func (k *Manager) recordStoreResponse(now time.Time) {
	k.storeRespondedAt.Update(func(time.Time) (time.Time, bool) { return now, true })
}

func (k *Manager) newWatcher(prefix string, reset func(context.Context, []store.Item) error, apply func([]store.Event)) *watcher {
	return &watcher{
		store: k.Store, clock: k.Clock, log: k.Log, prefix: prefix,
		invalid: k.invalid, wait: k.timing.WatchWait, call: k.timing.StoreTimeout, reset: reset, apply: apply, after: k.recordStoreResponse,
	}
}

// Counts returns what the pools that this entry owns have done, by service.
func (k *Manager) Counts() map[string]scheduler.Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := make(map[string]scheduler.Counts, len(k.ownerships))
	for service, t := range k.ownerships {
		if service != machineControllerRole && t.loaded.Load() {
			counts[service] = t.pool.Counts()
		}
	}
	return counts
}
