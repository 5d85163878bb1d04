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

// Limits of calls to the platform, as calls per second and as a burst.
const (
	writesPerSecond, writeBurst   = 60, 2 * jobstore.Shards
	ordersPerSecond, orderBurst   = 100, 200
	reportsPerSecond, reportBurst = 100, 100
)

// Limits of one step.
const (
	maxConcurrentClaims = 32
	maxCallsPerWorker   = 4               // a worker that does not respond blocks no more calls than this
	maxPlanAge          = 5 * time.Second // a plan older than this is dropped
)

// Controller places jobs while its entry holds the control lease. One goroutine
// calls Step; the state that others read is in the view, the task statuses and
// the counters, each in shards under their own locks.
type Controller struct {
	store               *jobstore.Store
	tasks               platform.Tasks
	sources             Sources
	policy              placement.Policy
	clock               clockwork.Clock
	log                 *zap.Logger
	View                *View
	statuses            *shard.Map[string, taskStatus] // by task ID
	counts              *shard.Cell[Counters]
	observed            *shard.Cell[[]edit]     // changes from the platform's reports that no step has written yet
	platformRespondedAt *shard.Cell[time.Time]  // when a call about a task last got a response
	inFlight            *shard.Map[string, int] // number of calls in flight, by worker
	calls               sync.WaitGroup
	// Spawn runs the controller's calls and writes; by default each in a
	// goroutine of its own.
	Spawn     func(func())
	term      string    // set by Begin; used only by the goroutine that calls Step
	termStart time.Time // set by Begin; used only by the goroutine that calls Step
	writes    *rate.Limiter
	orders    *rate.Limiter
	reports   *rate.Limiter
}

// NewController returns a controller without a term; Begin must be called before
// Step.
func NewController(store *jobstore.Store, tasks platform.Tasks, sources Sources, policy placement.Policy, clock clockwork.Clock, log *zap.Logger) *Controller {
	return &Controller{store: store, tasks: tasks, sources: sources, policy: policy, clock: clock, log: log,
		View: NewView(), statuses: shard.NewMap[string, taskStatus](), counts: shard.NewCell(Counters{}),
		observed: shard.NewCell[[]edit](nil), platformRespondedAt: shard.NewCell(time.Time{}), inFlight: shard.NewMap[string, int](), Spawn: func(f func()) { go f() },
		writes:  rate.NewLimiter(writesPerSecond, writeBurst),
		orders:  rate.NewLimiter(ordersPerSecond, orderBurst),
		reports: rate.NewLimiter(reportsPerSecond, reportBurst)}
}

// Counters returns the controller's counters.
func (c *Controller) Counters() Counters { return c.counts.Get() }

// Begin starts a term in which this entry places jobs. The name of a term must
// never be used again.
func (c *Controller) Begin(term string) {
	c.term, c.termStart = term, c.clock.Now()
	c.View.MarkStale()
}

// Occupies reports whether a job may use resources of the worker. It returns true
// until the jobs have been read from the store.
func (c *Controller) Occupies(worker string) bool {
	if !c.View.Listed() {
		return true
	}
	for i := range jobstore.Shards {
		for _, j := range c.View.Shard(i).Jobs {
			if j.Phase.Placed() && j.Attempt.Worker == worker {
				return true
			}
		}
	}
	return false
}

// Wait waits for the calls in flight to end.
func (c *Controller) Wait() { c.calls.Wait() }

// Step stores the changes that the platform reported, makes a plan, stores it and
// orders the tasks accordingly. held reports whether the control lease is still
// held. Step returns whether the next step is due soon.
func (c *Controller) Step(ctx context.Context, held func() bool) (busy bool) {
	if !c.View.Listed() {
		return true
	}
	if !c.claimShards(ctx) {
		return true
	}
	complete := c.writeObserved(ctx)
	snapshot, known := c.snapshot()
	if !known || !held() {
		return !complete
	}
	decisions := placement.Plan(&snapshot, c.policy)
	complete = c.writePlan(ctx, c.edits(&decisions, snapshot.Now), snapshot.Now) && complete
	ordering := c.callPlatform(ctx, lost(&decisions), held)
	c.updateCounters(&decisions)
	return ordering || !complete
}

// claimShards writes this term into every shard that has another one. From
// then on, the compare-and-swap of a write of an earlier term fails. It
// returns false until all shards have this term.
func (c *Controller) claimShards(ctx context.Context) bool {
	var claims sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentClaims)
	for i := range jobstore.Shards {
		s := c.View.Shard(i)
		if s.Term == c.term {
			continue
		}
		limit <- struct{}{}
		claims.Add(1)
		c.Spawn(func() {
			defer claims.Done()
			defer func() { <-limit }()
			s.Term = c.term
			c.save(ctx, s)
		})
	}
	claims.Wait()
	for i := range jobstore.Shards {
		if c.View.Shard(i).Term != c.term {
			return false
		}
	}
	return true
}

// snapshot returns the input of a plan, and false while the fleet is not
// known. It must be taken before the lease is checked: its versions are then
// older than any that the next holder writes, so that a write after the lease
// was lost conflicts.
func (c *Controller) snapshot() (placement.Snapshot, bool) {
	fleet, known := c.sources.Fleet()
	s := placement.Snapshot{Now: c.clock.Now().UTC().Round(0), Started: c.termStart, Workers: fleet.Workers, Teams: fleet.Teams,
		Jobs: c.View.Jobs(), Usage: make(map[string]placement.Usage)}
	for i := range s.Jobs {
		if !s.Jobs[i].Phase.Placed() {
			continue
		}
		if status, ok := c.statuses.Get(s.Jobs[i].Attempt.Task); ok {
			s.Usage[s.Jobs[i].Attempt.Task] = status.usage
		}
	}
	return s, known
}

// save writes a shard and returns whether the write was confirmed. After a
// failure whose outcome is unknown, the shard is read again, and the watch
// reports a write that took effect later.
func (c *Controller) save(ctx context.Context, s jobstore.Shard) bool {
	version, err := c.store.Save(ctx, s)
	c.counts.Update(func(counters Counters) (Counters, bool) {
		counters.Writes++
		if problem.Is(err, problem.Conflict) {
			counters.Conflicts++
		}
		return counters, true
	})
	if err == nil {
		s.Version = version
		c.View.Put(s)
		return true
	}
	if problem.Is(err, problem.Conflict) {
		c.reload(ctx, s.Index)
		return false
	}
	c.log.Warn("writing a shard of jobs failed; the shard is read again", telemetry.ProblemFields(err)...)
	c.reload(ctx, s.Index)
	return false
}

// reload reads a shard of which the view may have an old version.
func (c *Controller) reload(ctx context.Context, index int) {
	if s, err := c.store.Load(ctx, index); err == nil {
		c.View.Put(s)
	}
}
