package jobs_test

import (
	"context"

	"go.uber.org/zap"

	"persimmonbay/internal/jobs"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/problem"
)

// simEntry is one entry of a simulated fleet, with its controller.
type simEntry struct {
	world      *simWorld
	name       string
	platform   *simPlatform
	controller *jobs.Controller
	revision   uint64
	crashed    bool
}

var _ jobs.Sources = (*simEntry)(nil)

func (w *simWorld) newEntry(name string) *simEntry {
	e := &simEntry{world: w, name: name}
	e.platform = &simPlatform{Store: w.store, Tasks: w.tasks, world: w, entry: e}
	e.controller = jobs.NewController(jobstore.New(e.platform), e.platform, e, w.policy, w.clock, zap.NewNop())
	e.controller.Spawn = func(f func()) { f() }
	return e
}

// Fleet implements jobs.Sources.
func (e *simEntry) Fleet() (jobs.Fleet, bool) { return e.world.fleet(), true }

func (e *simEntry) held() bool { return e.world.holder == e && !e.crashed }

// step brings the view up to date with the store and runs one step of the
// controller.
func (e *simEntry) step() {
	e.pull()
	e.controller.Step(context.Background(), e.held)
}

func (e *simEntry) pull() {
	ctx := context.Background()
	if !e.controller.View.Listed() {
		if listing, err := e.platform.List(ctx, jobstore.Prefix); err == nil {
			e.world.must(e.controller.View.PutListing(listing))
			e.revision = listing.Revision
		}
		return
	}
	changes, err := e.platform.Watch(ctx, jobstore.Prefix, e.revision, 0)
	if problem.Is(err, problem.Compacted) {
		e.controller.View.MarkStale()
	}
	if err != nil {
		return
	}
	for _, event := range changes.Events {
		e.world.must(e.controller.View.PutEvent(event))
	}
	e.revision = changes.Revision
}

// jobsNow returns the jobs as the store holds them.
func (w *simWorld) jobsNow() map[string]placement.Job {
	shards, err := jobstore.New(w.store).LoadAll(context.Background())
	w.must(err)
	all := map[string]placement.Job{}
	for _, s := range shards {
		for _, j := range s.Jobs {
			all[j.ID] = j
		}
	}
	return all
}
