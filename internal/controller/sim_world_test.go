package controller_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/problem"
	standin "persimmonbay/internal/standin/platform"
)

// Timing of the simulated fleet.
const (
	leaseTTL     = 5 * time.Second
	suspectAfter = 3 * time.Second
	fence        = 30 * time.Second
	rebootTime   = 90 * time.Second
	expiryAge    = time.Minute
	longestWork  = 25 * time.Second
)

// loseReplies is the share of writes and reboot requests whose reply is lost.
const loseReplies = 0.1

// simWorld is a fleet in virtual time: the simulated platform's store,
// competing entries, and instances that fail.
type simWorld struct {
	random       *rand.Rand
	clock        *clockwork.FakeClock
	store        *standin.Store
	outage       bool
	partitioned  bool                 // the regions are partitioned; the store is in one of them
	faults       float64              // share of the drawn faults that occur
	registered   map[string]time.Time // end of the registration, by entry
	entries      []*simEntry
	instances    map[string]fleet.Instance
	returns      map[string]time.Time // end of the reboot, by instance
	neverBack    map[string]bool
	reboots      map[string]int
	policy       maintenance.Policy
	budgets      []maintenance.Budget
	servicePools map[string]string
	waves        int
	events       []string // the latest events, for the report of a failure
}

func newWorld(seed uint64, entries int) *simWorld {
	clock := clockwork.NewFakeClock()
	w := &simWorld{random: rand.New(rand.NewPCG(seed, 1)), clock: clock, store: standin.NewStore(clock),
		registered: map[string]time.Time{}, instances: map[string]fleet.Instance{}, returns: map[string]time.Time{},
		neverBack: map[string]bool{}, reboots: map[string]int{}, policy: maintenance.DefaultPolicy(), servicePools: map[string]string{}}
	w.faults = []float64{1, 0.3, 0.1, 0.03}[seed%4]
	for i := range entries {
		e := w.newEntry(fmt.Sprintf("entry-%d", i+1))
		e.start()
		w.entries = append(w.entries, e)
	}
	return w
}

// addPool adds a service with its pool; share is the service's availability budget.
func (w *simWorld) addPool(name string, share float64, instances int) {
	w.budgets = append(w.budgets, maintenance.Budget{Pool: name, Share: share, Spare: name == "spare"})
	w.servicePools[name] = name
	for i := range instances {
		n := len(w.instances)
		id := fmt.Sprintf("%s-%d", name, i+1)
		w.instances[id] = fleet.Instance{ID: id, Kind: fleet.KindUpstream, Service: name, State: fleet.Live,
			AvailabilityZone: fmt.Sprintf("az-%d", n%3+1), Rack: fmt.Sprintf("rack-%d", n/12*3+n%3+1)}
	}
}

// arePartitioned reports whether a partition between their regions separates
// two entries.
func (w *simWorld) arePartitioned(a, b *simEntry) bool { return w.partitioned && a.remote != b.remote }

func (w *simWorld) now() time.Time { return w.clock.Now().UTC() }

func (w *simWorld) must(err error) {
	if err != nil {
		panic(err)
	}
}

// advance advances the clock by d; instances whose reboots end are live again.
func (w *simWorld) advance(d time.Duration) {
	w.clock.Advance(d)
	for _, id := range sorted(w.returns) {
		if !w.returns[id].After(w.now()) {
			w.setState(id, fleet.Live)
			delete(w.returns, id)
		}
	}
}

func (w *simWorld) setState(id string, state fleet.InstanceState) {
	i := w.instances[id]
	i.State = state
	w.instances[id] = i
}

func (w *simWorld) listed() map[string]fleet.Instance { return maps.Clone(w.instances) }

func (w *simWorld) registeredNow() map[string]bool {
	now := map[string]bool{}
	for id, until := range w.registered {
		if w.now().Before(until) {
			now[id] = true
		}
	}
	return now
}

// Reboot implements platform.Rebooter.
func (w *simWorld) Reboot(_ context.Context, id string) error {
	if w.outage {
		return problem.New(problem.Unavailable, problem.StepReboot, id, "outage")
	}
	if w.instances[id].State != fleet.Live {
		return problem.New(problem.Conflict, problem.StepReboot, id, "leaving")
	}
	w.reboots[id]++
	w.setState(id, fleet.Leaving)
	if !w.neverBack[id] {
		w.returns[id] = w.now().Add(rebootTime)
	}
	if w.random.Float64() < loseReplies {
		return problem.New(problem.Interrupted, problem.StepReboot, id, "reply lost")
	}
	return nil
}

// stored returns a snapshot of what is in the store.
func (w *simWorld) stored() maintenance.Snapshot {
	view := maintenance.NewView()
	listing, err := w.store.List(context.Background(), fleetstore.Prefix)
	w.must(err)
	w.must(fleetstore.ApplyListing(view, listing))
	s := maintenance.Snapshot{Now: w.now(), Listed: w.instances, ListedKnown: true, Budgets: w.budgets, ServicePools: w.servicePools}
	view.Fill(&s)
	return s
}

// moves returns how often a record changed to another pool.
func (w *simWorld) moves() int {
	changes, err := w.store.Watch(context.Background(), fleetstore.Prefix, 0, 0)
	w.must(err)
	view, moves := maintenance.NewView(), 0
	for _, event := range changes.Events {
		id := event.Key[strings.LastIndex(event.Key, "/")+1:]
		before, known := view.Record(id)
		w.must(fleetstore.ApplyEvent(view, event))
		if after, _ := view.Record(id); known && after.Pool != before.Pool {
			moves++
		}
	}
	return moves
}

// findInTwoPools describes an instance that two pools use at once, or returns
// an empty string. It checks the view of each entry that may act, and all work
// under way.
func (w *simWorld) findInTwoPools() string {
	var acting []*simEntry
	for _, e := range w.entries {
		if e.acts() && e.mayAct() {
			acting = append(acting, e)
		}
	}
	for _, id := range sorted(w.instances) {
		pools := map[string]string{}
		for _, e := range acting {
			if pool, serves := e.serves(id); serves {
				pools[pool] += " " + e.id
			}
		}
		for _, e := range w.entries {
			for _, work := range e.work {
				if work.instance == id && work.until.After(w.now()) {
					pools[work.pool] += " work-of-" + e.id
				}
			}
		}
		if len(pools) > 1 {
			return fmt.Sprintf("%s at %s: %v", id, w.now().Format("15:04:05"), pools)
		}
	}
	return ""
}

func (w *simWorld) logEvent(format string, args ...any) {
	w.events = append(w.events, w.now().Format("15:04:05 ")+fmt.Sprintf(format, args...))
	if len(w.events) > 60 {
		w.events = w.events[1:]
	}
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
