package poolmanager

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// sceneTiming has the values of the users' sites.
var sceneTiming = scheduler.Timing{
	RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second, LateCalls: 13 * time.Second, StartTimeout: 150 * time.Millisecond, OrderTimeout: 700 * time.Millisecond, ClockDrift: 0.02,
	StartEarly: 200 * time.Millisecond, FormerOwnerLease: 2 * time.Second, StopTimeout: 400 * time.Millisecond,
	FirstSuspension: time.Second, MaxSuspension: 8 * time.Second,
}

// ownershipScene runs owners of one pool step by step, with its own store and clock.
type ownershipScene struct {
	store    *fakeStore
	clock    *clockwork.FakeClock
	manager  *Manager
	machines *fakeMachines // nil: the platform accepts no orders for machines
	millis   int64         // time of all workers' clocks, in milliseconds
}

const (
	sceneEntry   = "node-1"
	sceneService = "tags"
	sceneLease   = 7
)

func newOwnershipScene() *ownershipScene {
	s := &ownershipScene{store: newFakeStore(), clock: clockwork.NewFakeClock(), millis: 1000}
	d := Dependencies{Store: s.store, Clock: s.clock, SinceBoot: func() time.Duration { return time.Minute }, Log: zap.NewNop(), Metrics: telemetry.NewMetrics()}
	timing := Timing{StoreTimeout: time.Second, OrderTimeout: time.Second, SaveInterval: time.Millisecond, LazySaveDelay: time.Millisecond, Retention: time.Minute, Scheduler: sceneTiming}
	s.manager = New(sceneEntry, "127.0.0.1:1", 1, d, timing, poolconfig.NewInForce())
	s.manager.session.id, s.manager.session.endsAt = sceneLease, time.Hour
	return s
}

// own makes the entry the pool's owner, and returns the ownership before its load.
func (s *ownershipScene) own() *poolOwnership {
	token := s.store.put(poolstore.OwnerKey(sceneService), []byte(sceneEntry), sceneLease)
	return newPoolOwnership(s.manager, sceneService, token, sceneLease)
}

// load makes the entry the pool's owner, and returns the ownership after its load.
func (s *ownershipScene) load() *poolOwnership {
	o := s.own()
	_, _, err := o.tryLoad(context.Background())
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return o
}

// list lists the workers in the pool, each on its own machine.
func (s *ownershipScene) list(o *poolOwnership, ids ...string) {
	var workers []scheduler.WorkerInfo
	for _, id := range ids {
		workers = append(workers, scheduler.WorkerInfo{
			ID: id, Service: sceneService, Address: id + ":1", Machine: "m-" + id, Incarnation: 1,
			Capacity: scheduler.Resources{MilliCPU: 32000, MemoryMB: 131072},
		})
	}
	o.pool.SetWorkers(workers, s.clock.Now())
}

// poll applies a worker's reply to a lease poll.
func (s *ownershipScene) poll(o *poolOwnership, id string, running ...scheduler.RunReport) {
	s.millis++
	now := s.clock.Now()
	o.pool.ApplyPoll(scheduler.PollReply{Worker: id, SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: s.millis, Running: running})
}

// silence applies a lease poll that the worker did not answer.
func (s *ownershipScene) silence(o *poolOwnership, id string) {
	o.pool.PollFailed(id, scheduler.NoResponse, s.clock.Now())
}

// roster returns the stored roster.
func (s *ownershipScene) roster() scheduler.WorkerRoster {
	key := poolstore.RosterKey(sceneService)
	item, err := s.store.Get(context.Background(), key)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	roster, err := poolstore.DecodeRoster(key, item.Value)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return roster
}

// completed reports whether the store shows a job as completed.
func (s *ownershipScene) completed(id string) bool {
	item, err := s.store.Get(context.Background(), poolstore.StateKey(sceneService, id))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	state, err := poolstore.DecodeState(item.Key, item.Value)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return state.Progress.State == scheduler.Completed
}

// accept stores a job of one task, as an entry that accepts it does.
func (s *ownershipScene) accept(id string) store.Item {
	job, err := poolstore.EncodeJob(&scheduler.Submission{
		ID: id, Queue: "checks", Service: sceneService, MaxFailures: 4, Stretch: 1.6, Objective: time.Second,
		Steps: []scheduler.Step{{Count: 1, Need: scheduler.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}},
	})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	state, err := poolstore.EncodeState(&poolstore.JobProgress{Queue: "checks"})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	key := poolstore.JobKey(sceneService, id)
	_, err = s.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: key, Value: job}, {Key: poolstore.StateKey(sceneService, id), Value: state}}})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	item, err := s.store.Get(context.Background(), key)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return item
}
