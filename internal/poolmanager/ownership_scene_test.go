package poolmanager

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// sceneTiming is that of the users' sites.
var sceneTiming = scheduler.Timing{
	RunLease: 4500 * time.Millisecond, OrderTimeout: 700 * time.Millisecond, ClockDrift: 0.02,
	StartEarly: 200 * time.Millisecond, FormerOwnerLease: 2 * time.Second, StopTimeout: 400 * time.Millisecond,
	FirstSuspension: time.Second, MaxSuspension: 8 * time.Second,
}

// ownershipScene drives owners of one pool by hand, with a store and a time of its
// own.
type ownershipScene struct {
	store    *fakeStore
	clock    *clockwork.FakeClock
	manager  *Manager
	machines *fakeMachines // nil: none can be ordered
	millis   int64         // of all workers' clocks
}

const (
	sceneNode    = "node-1"
	sceneService = "tags"
	sceneLease   = 7
)

func newOwnershipScene() *ownershipScene {
	s := &ownershipScene{store: newFakeStore(), clock: clockwork.NewFakeClock(), millis: 1000}
	d := Dependencies{Store: s.store, Clock: s.clock, SinceBoot: func() time.Duration { return time.Minute }, Log: zap.NewNop()}
	bounds := Timing{StoreTimeout: time.Second, OrderTimeout: time.Second, SaveInterval: time.Millisecond, LazySaveDelay: time.Millisecond, Retention: time.Minute, Scheduler: sceneTiming}
	s.manager = New(sceneNode, "127.0.0.1:1", 1, d, bounds, nil)
	s.manager.session.id, s.manager.session.endsAt = sceneLease, time.Hour
	return s
}

// own makes the entry the pool's owner, which has not loaded it yet.
func (s *ownershipScene) own() *poolOwnership {
	token := s.store.put(poolstore.OwnerKey(sceneService), []byte(sceneNode), sceneLease)
	return newPoolOwnership(s.manager, sceneService, token, sceneLease)
}

// load makes the entry the pool's owner, which has loaded it.
func (s *ownershipScene) load() *poolOwnership {
	t := s.own()
	_, _, err := t.tryLoad()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return t
}

func (s *ownershipScene) list(t *poolOwnership, ids ...string) {
	var facts []scheduler.WorkerInfo
	for _, id := range ids {
		facts = append(facts, scheduler.WorkerInfo{
			ID: id, Service: sceneService, Address: id + ":1", Machine: "m-" + id, Incarnation: 1,
			Capacity: scheduler.Resources{MilliCPU: 32000, MemoryMB: 131072},
		})
	}
	t.pool.SetWorkers(facts, s.clock.Now())
}

// poll has a worker answer the owner.
func (s *ownershipScene) poll(t *poolOwnership, id string, running ...scheduler.RunReport) {
	s.millis++
	now := s.clock.Now()
	t.pool.ApplyPoll(scheduler.PollReply{Worker: id, SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: s.millis, Running: running})
}

func (s *ownershipScene) silence(t *poolOwnership, id string) {
	t.pool.PollFailed(id, scheduler.Unanswered, s.clock.Now())
}

// roster returns what the store keeps for the next owner.
func (s *ownershipScene) roster() scheduler.WorkerRoster {
	key := poolstore.RosterKey(sceneService)
	item, err := s.store.Get(context.Background(), key)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	roster, err := poolstore.DecodeRoster(key, item.Value)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return roster
}

// accept has the store keep a job of one task, as an entry that accepts it does.
func (s *ownershipScene) accept(id string) store.Item {
	job, err := poolstore.EncodeJob(&scheduler.Submission{
		ID: id, Queue: "checks", Service: sceneService, MaxFailures: 4, Stretch: 1.6, Objective: time.Second,
		Steps: []scheduler.Step{{Count: 1, Need: scheduler.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}},
	})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	state, err := poolstore.EncodeState(&poolstore.SavedState{Queue: "checks"})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	key := poolstore.JobKey(sceneService, id)
	_, err = s.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: key, Value: job}, {Key: poolstore.StateKey(sceneService, id), Value: state}}})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	item, err := s.store.Get(context.Background(), key)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return item
}
