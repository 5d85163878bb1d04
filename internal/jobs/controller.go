package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/telemetry"
)

// Rates of calls to the platform, a second, and the most at once.
const (
	writeRate, writeBurst   = 60, 2 * jobstore.Shards
	orderRate, orderBurst   = 100, 200
	reportRate, reportBurst = 100, 100
)

// Bounds of one step.
const (
	claimsAtOnce   = 32
	callsPerWorker = 4               // so that a silent worker ties up few
	maxPlanAge     = 5 * time.Second // a plan older than this is dropped
)

// Controller places jobs while its entry holds the control lease. One goroutine
// steps; what others read is in the view, the tracks and the counters, each in
// shards under their own locks.
type Controller struct {
	store               *jobstore.Store
	tasks               platform.Tasks
	sources             Sources
	policy              placement.Policy
	clock               clockwork.Clock
	log                 *zap.Logger
	View                *View
	tracks              *shard.Map[string, track] // by task
	counts              *shard.Cell[Counters]
	answers             *shard.Cell[[]edit]     // what calls have brought and no step has written
	platformRespondedAt *shard.Cell[time.Time]  // when the platform last answered about a task
	inFlight            *shard.Map[string, int] // calls under way, by worker
	calls               sync.WaitGroup
	// Spawn runs the controller's calls; by default each in a goroutine of its own.
	Spawn   func(func())
	term    string    // of the latest Begin; only used by the stepping goroutine
	begun   time.Time // of the latest Begin; only used by the stepping goroutine
	writes  *rate.Limiter
	orders  *rate.Limiter
	reports *rate.Limiter
}

// NewController returns a controller that has not begun.
func NewController(store *jobstore.Store, tasks platform.Tasks, sources Sources, policy placement.Policy, clock clockwork.Clock, log *zap.Logger) *Controller {
	return &Controller{store: store, tasks: tasks, sources: sources, policy: policy, clock: clock, log: log,
		View: NewView(), tracks: shard.NewMap[string, track](), counts: shard.NewCell(Counters{}),
		answers: shard.NewCell[[]edit](nil), platformRespondedAt: shard.NewCell(time.Time{}), inFlight: shard.NewMap[string, int](), Spawn: func(f func()) { go f() },
		writes:  rate.NewLimiter(writeRate, writeBurst),
		orders:  rate.NewLimiter(orderRate, orderBurst),
		reports: rate.NewLimiter(reportRate, reportBurst)}
}

// Counters returns what the controller has done.
func (k *Controller) Counters() Counters { return k.counts.Get() }

// Begin starts a term of this entry as the one that places jobs. A term's name
// must never be used again.
func (k *Controller) Begin(term string) {
	k.term, k.begun = term, k.clock.Now()
	k.View.Forget()
}

// Occupies reports whether a job may take up room on the worker. Until the jobs
// are known, one may.
func (k *Controller) Occupies(worker string) bool {
	if !k.View.Listed() {
		return true
	}
	for i := range jobstore.Shards {
		for _, j := range k.View.Shard(i).Jobs {
			if j.Phase.Placed() && j.Attempt.Worker == worker {
				return true
			}
		}
	}
	return false
}

// Wait waits for the calls under way.
func (k *Controller) Wait() { k.calls.Wait() }

// Step writes down what the platform told of tasks, plans once, writes the plan
// down and orders what is written. held reports whether the control lease is still held. Step
// returns whether more is to be done soon.
func (k *Controller) Step(ctx context.Context, held func() bool) (busy bool) {
	if !k.View.Listed() {
		return true
	}
	if !k.claim(ctx) {
		return true
	}
	complete := k.writeAnswers(ctx)
	snapshot, known := k.snapshot()
	if !known || !held() {
		return !complete
	}
	decisions := placement.Plan(&snapshot, k.policy)
	complete = k.write(ctx, k.edits(&decisions, snapshot.Now), snapshot.Now) && complete
	ordering := k.effect(ctx, lost(&decisions), held)
	k.note(&decisions)
	return ordering || !complete
}

// claim writes this term into every shard, so that no write of an earlier term
// takes effect from then on. It returns false until all are written.
func (k *Controller) claim(ctx context.Context) bool {
	var claims sync.WaitGroup
	limit := make(chan struct{}, claimsAtOnce)
	for i := range jobstore.Shards {
		s := k.View.Shard(i)
		if s.Term == k.term {
			continue
		}
		limit <- struct{}{}
		claims.Add(1)
		k.Spawn(func() {
			defer claims.Done()
			defer func() { <-limit }()
			s.Term = k.term
			k.save(ctx, s)
		})
	}
	claims.Wait()
	for i := range jobstore.Shards {
		if k.View.Shard(i).Term != k.term {
			return false
		}
	}
	return true
}

// snapshot must be taken before the lease is looked at: then the versions in it
// are older than any that the next holder writes.
func (k *Controller) snapshot() (placement.Snapshot, bool) {
	fleet, known := k.sources.Fleet()
	s := placement.Snapshot{Now: k.clock.Now().UTC().Round(0), Started: k.begun, Workers: fleet.Workers, Teams: fleet.Teams,
		Jobs: k.View.Jobs(), Usage: make(map[string]placement.Usage)}
	for i := range s.Jobs {
		if !s.Jobs[i].Phase.Placed() {
			continue
		}
		if t, ok := k.tracks.Get(s.Jobs[i].Attempt.Task); ok {
			s.Usage[s.Jobs[i].Attempt.Task] = t.usage
		}
	}
	return s, known
}

// save writes a shard and returns whether that surely took effect. When it may
// have, the watch tells.
func (k *Controller) save(ctx context.Context, s jobstore.Shard) bool {
	version, err := k.store.Save(ctx, s)
	k.counts.Update(func(c Counters) (Counters, bool) {
		c.Writes++
		if problem.Is(err, problem.Conflict) {
			c.Conflicts++
		}
		return c, true
	})
	if err == nil {
		s.Version = version
		k.View.Put(s)
		return true
	}
	if problem.Is(err, problem.Conflict) {
		k.reload(ctx, s.Index)
		return false
	}
	k.log.Warn("jobs not written", telemetry.ProblemFields(err)...)
	k.reload(ctx, s.Index)
	return false
}

// reload reads a shard, of which the view may be behind.
func (k *Controller) reload(ctx context.Context, index int) {
	if s, err := k.store.Load(ctx, index); err == nil {
		k.View.Put(s)
	}
}
