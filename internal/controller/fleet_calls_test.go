package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform"
	standin "persimmonbay/internal/standin/platform"
)

// Timing of the fleet whose calls are counted, by an entry's default settings.
const (
	callsTick      = 100 * time.Millisecond
	callsHeartbeat = time.Second
	callsList      = time.Second // between two reads of the platform's list
	callsWait      = 5 * time.Second
	callsReboot    = 60 * time.Second // shortest reboot
	callsSlower    = 60 * time.Second // added to it at most
	callsIdle      = time.Second      // between two steps without a change
)

// callsFleet is a fleet in virtual time whose first entry holds the control
// lease. It counts every call to the platform for pools and waves.
type callsFleet struct {
	clock           *clockwork.FakeClock
	store           *countingStore
	watchers        []*callsWatcher
	reported        []uint64 // revision that each entry reported last
	list            map[string]fleet.Instance
	listed          map[string]fleet.Instance // the list as last read
	returnsAt       map[string]time.Time
	budgets         []maintenance.Budget
	pools           map[string]string
	control         *controller.Controller
	lastStep        time.Time
	plannedRevision uint64 // of the latest step
	random          *rand.Rand
	longestStep     time.Duration // in real time
}

var (
	_ controller.Sources = (*callsFleet)(nil)
	_ platform.Rebooter  = (*callsFleet)(nil)
)

func newCallsFleet(entries int, policy maintenance.Policy) *callsFleet {
	clock := clockwork.NewFakeClock()
	f := &callsFleet{clock: clock, store: newCountingStore(standin.NewStore(clock), clock), reported: make([]uint64, entries),
		list: map[string]fleet.Instance{}, returnsAt: map[string]time.Time{}, pools: map[string]string{}, random: rand.New(rand.NewPCG(1, 1))}
	for i := range entries {
		f.watchers = append(f.watchers, &callsWatcher{holder: i == 0, view: maintenance.NewView(), nextCall: clock.Now().Add(time.Duration(i) * callsTick)})
	}
	f.control = &controller.Controller{Store: fleetstore.New(f.store.as("waves")), Rebooter: f, Sources: f, Policy: policy, Clock: clock, Log: zap.NewNop()}
	return f
}

// addPool adds a pool with its service and its instances, spread over eight
// zones.
func (f *callsFleet) addPool(name string, instances int, b maintenance.Budget) {
	b.Pool = name
	f.budgets, f.pools[name] = append(f.budgets, b), name
	for i := range instances {
		id := fmt.Sprintf("%s-%02d", name, i)
		n := len(f.list)
		f.list[id] = fleet.Instance{ID: id, Kind: fleet.KindUpstream, Service: name, State: fleet.Live,
			AvailabilityZone: fmt.Sprintf("az-%d", n%8), Rack: fmt.Sprintf("rack-%03d", n/32)}
	}
}

func (f *callsFleet) now() time.Time { return f.clock.Now().UTC() }

// tick advances the clock by callsTick and has every part of the fleet do what
// is due.
func (f *callsFleet) tick(ctx context.Context) {
	f.clock.Advance(callsTick)
	for id, at := range f.returnsAt {
		if !at.After(f.now()) {
			f.setState(id, fleet.Live)
			delete(f.returnsAt, id)
		}
	}
	for _, w := range f.watchers {
		w.tick(ctx, f)
	}
	if f.every(callsHeartbeat) {
		for i, w := range f.watchers {
			f.reported[i] = w.view.State().Revision
		}
	}
	if f.every(callsList) {
		f.readList()
	}
	f.leaseCalls()
	f.step(ctx)
}

func (f *callsFleet) every(d time.Duration) bool {
	return f.now().UnixNano()%int64(d) < int64(callsTick)
}

func (f *callsFleet) readList() {
	f.listed = make(map[string]fleet.Instance, len(f.list))
	for id, i := range f.list {
		f.listed[id] = i
	}
}

// leaseCalls counts the renewals of the control lease and the watches of it by
// the other entries.
func (f *callsFleet) leaseCalls() {
	if f.every(leaseTTL / 3) {
		f.store.count("waves", "write")
	}
	if f.every(controller.LeaseWait(callsWait)) {
		for range f.watchers[1:] {
			f.store.count("waves", "watch")
		}
	}
}

// step makes a step when the loop of the controller would.
func (f *callsFleet) step(ctx context.Context) {
	state, since := f.watchers[0].view.State(), f.now().Sub(f.lastStep)
	if !state.Consistent || since < controller.StepPause(state) || state.Revision == f.plannedRevision && since < callsIdle {
		return
	}
	f.lastStep, f.plannedRevision = f.now(), state.Revision
	started := time.Now()
	f.control.Step(ctx)
	f.longestStep = max(f.longestStep, time.Since(started))
}

// Snapshot implements controller.Sources. It counts the calls that an entry
// would send.
func (f *callsFleet) Snapshot(context.Context) (maintenance.Snapshot, bool) {
	s := maintenance.Snapshot{Now: f.now(), Listed: f.listed, ListedKnown: f.listed != nil, Budgets: f.budgets, ServicePools: f.pools}
	known := f.watchers[0].view.Fill(&s)
	if s.Roster.Version == 0 && len(s.Records) > 0 {
		f.store.count("waves", "read")
		f.addReports(&s)
	}
	for _, r := range s.Records {
		if r.Phase == maintenance.Leaving {
			f.store.count("waves", "read") // lists the registered entries
			f.addReports(&s)
			break
		}
	}
	return s, known
}

func (f *callsFleet) addReports(s *maintenance.Snapshot) {
	reports := make([]maintenance.EntryReport, 0, len(f.watchers))
	for i := range f.watchers {
		reports = append(reports, maintenance.EntryReport{Entry: fmt.Sprint(i), Registered: true, Recent: true, Revision: f.reported[i]})
	}
	s.SetReports(reports, time.Hour, fence, leaseTTL)
}

// Changed implements controller.Sources.
func (f *callsFleet) Changed() <-chan struct{} { return f.watchers[0].view.Changed() }

// State implements controller.Sources.
func (f *callsFleet) State() maintenance.State { return f.watchers[0].view.State() }

// Reboot implements platform.Rebooter.
func (f *callsFleet) Reboot(_ context.Context, id string) error {
	f.store.count("waves", "write")
	f.setState(id, fleet.Leaving)
	f.returnsAt[id] = f.now().Add(callsReboot + time.Duration(f.random.Int64N(int64(callsSlower))))
	return nil
}

func (f *callsFleet) setState(id string, state fleet.InstanceState) {
	i := f.list[id]
	i.State = state
	f.list[id] = i
}
