package poolmanager

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/answertime"
	"persimmonbay/internal/door"
	"persimmonbay/internal/places"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/store"
)

// Manager runs the pools that this entry owns, under the entry's lease. mu guards
// ownerships.
type Manager struct {
	Dependencies
	entryID          string
	address          string  // at which other entries reach this one
	weight           float64 // the load that this entry can carry, in cores
	timing           Timing
	config           *poolconfig.InForce
	session          *session
	fleet            *shard.Cell[fleetView]
	waves            *shard.Cell[waveView]
	storeRespondedAt *shard.Cell[time.Time] // when the store last responded
	peers            *shard.Cell[Peers]     // nil until SetPeers is called
	changed          signal                 // the fleet, the configuration or a wave has changed
	member           ownKeys                // revision of this entry's registration
	invalid          *invalidItems
	reader           *configurationReader
	reports          *shard.Map[string, *door.Report] // of the owners of pools, by service, as last received

	mu         sync.Mutex
	ownerships map[string]*poolOwnership // by service
}

// New returns a manager for the entry entryID, which other entries reach at address
// and which can carry a load of weight cores. It does nothing before Run.
func New(entryID, address string, weight float64, d Dependencies, timing Timing, config *poolconfig.InForce) *Manager {
	m := &Manager{
		Dependencies: d, entryID: entryID, address: address, weight: weight, timing: timing, peers: shard.NewCell[Peers](nil), config: config,
		session:          newSession(d.Store, d.Clock, d.SinceBoot, d.Log, &timing, entryID),
		fleet:            shard.NewCell(newFleetView()),
		waves:            shard.NewCell(waveView{}),
		storeRespondedAt: shard.NewCell(time.Time{}),
		changed:          newSignal(),
		invalid:          newInvalidItems(),
		reports:          shard.NewMap[string, *door.Report](),
		ownerships:       make(map[string]*poolOwnership),
	}
	m.reader = &configurationReader{
		pause: d.Clock.Sleep, store: d.Store, operators: d.Operators, timeout: timing.StoreTimeout, sinceBoot: d.SinceBoot, config: config,
		apply: m.applyConfiguration,
	}
	return m
}

// Run acquires and runs pools until ctx ends. It then hands them over, ends the
// entry's lease and returns.
func (m *Manager) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){m.session.run, m.watchFleet, m.watchOperators, m.confirmConfiguration} {
		wg.Go(func() { m.keepRunning(background, loop) })
	}
	m.keepRunning(ctx, m.manage)
	m.handOverAll()
	stop()
	wg.Wait()
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.timing.StoreTimeout)
	defer cancel()
	m.session.end(final)
}

// LastStoreResponse returns the time of the store's last response; zero: none yet.
func (m *Manager) LastStoreResponse() time.Time { return m.storeRespondedAt.Get() }

func (m *Manager) recordStoreResponse(now time.Time) {
	m.storeRespondedAt.Update(func(time.Time) (time.Time, bool) { return now, true })
}

func (m *Manager) newWatcher(prefix string, reset func(context.Context, []store.Item) error, apply func([]store.Event)) *watcher {
	return &watcher{
		store: m.Store, clock: m.Clock, log: m.Log, prefix: prefix,
		invalid: m.invalid, wait: m.timing.WatchWait, timeout: m.timing.StoreTimeout, reset: reset, apply: apply, onResponse: m.recordStoreResponse,
	}
}

// AnswerTimes returns how the workers of the pools that this entry owns answer its calls,
// by service. Pools that are still being loaded are left out.
func (m *Manager) AnswerTimes() map[string]answertime.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]answertime.Summary, len(m.ownerships))
	for service, o := range m.ownerships {
		if service != machineControllerRole && o.loaded.Load() {
			all[service] = o.pool.AnswerTimes()
		}
	}
	return all
}

// PlaceWaits returns how tasks of the pools that this entry owns have waited for places near
// their data, by service. Pools that are still being loaded are left out.
func (m *Manager) PlaceWaits() map[string]places.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]places.Summary, len(m.ownerships))
	for service, o := range m.ownerships {
		if service != machineControllerRole && o.loaded.Load() {
			all[service] = o.pool.PlaceWaits()
		}
	}
	return all
}

// Counts returns the counters of the pools that this entry owns, by service. Pools
// that are still being loaded are left out.
func (m *Manager) Counts() map[string]scheduler.Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]scheduler.Counts, len(m.ownerships))
	for service, o := range m.ownerships {
		if service != machineControllerRole && o.loaded.Load() {
			counts[service] = o.pool.Counts()
		}
	}
	return counts
}
