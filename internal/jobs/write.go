package jobs

import (
	"context"
	"sort"
	"sync"
	"time"

	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/shard"
)

// edits returns the changes of jobs that carry out the decisions, except for lost
// jobs: their tasks are withdrawn first.
func (c *Controller) edits(d *placement.Decisions, now time.Time) []edit {
	var edits []edit
	for _, s := range d.Starts {
		edits = append(edits, edit{job: s.Job, change: func(j placement.Job) (placement.Job, bool) { return j.Start(s.Worker, now) }})
	}
	for _, p := range d.Preemptions {
		edits = append(edits, edit{job: p.Job, urgent: true, change: func(j placement.Job) (placement.Job, bool) { return j.Preempt(p, now) }})
	}
	for _, id := range d.Restored {
		edits = append(edits, edit{job: id, change: placement.Job.Restore})
	}
	for _, g := range d.GivenUp {
		edits = append(edits, edit{job: g.Job, change: func(j placement.Job) (placement.Job, bool) { return j.GiveUp(now, g.Reason) }})
	}
	return edits
}

func lost(d *placement.Decisions) map[string]bool {
	lost := make(map[string]bool, len(d.Lost))
	for _, id := range d.Lost {
		lost[id] = true
	}
	return lost
}

// writePlan stores the edits of a plan made at planned, with one write per
// shard. It returns false when some were not stored: the plan is too old, the
// write rate is limited, or a write failed. The next step plans them again.
func (c *Controller) writePlan(ctx context.Context, edits []edit, planned time.Time) bool {
	if c.clock.Since(planned) > maxPlanAge {
		return false
	}
	return len(c.writeShards(ctx, edits)) == 0
}

// writeObserved stores the changes that the platform reported, and returns false
// when some were not stored. Those stay for the next step, before the ones that
// calls have added meanwhile.
func (c *Controller) writeObserved(ctx context.Context) bool {
	var edits []edit
	c.observed.Update(func(old []edit) ([]edit, bool) { edits = old; return nil, true })
	unwritten := c.writeShards(ctx, edits)
	c.observed.Update(func(added []edit) ([]edit, bool) { return append(unwritten, added...), true })
	return len(unwritten) == 0
}

// writeShards stores edits with one write per shard, and returns those that were
// not stored.
func (c *Controller) writeShards(ctx context.Context, edits []edit) []edit {
	unwritten := shard.NewCell[[]edit](nil)
	postpone := func(w shardWrite) {
		unwritten.Update(func(old []edit) ([]edit, bool) { return append(old, w.edits...), true })
	}
	var writes sync.WaitGroup
	for _, w := range c.shardWrites(edits) {
		if !c.writes.AllowN(c.clock.Now(), 1) {
			postpone(w)
			continue
		}
		writes.Add(1)
		c.Spawn(func() {
			defer writes.Done()
			if !c.save(ctx, w.shard) {
				postpone(w)
				return
			}
			c.counts.Update(func(counters Counters) (Counters, bool) { return w.count(counters), true })
		})
	}
	writes.Wait()
	return unwritten.Get()
}

// shardWrites returns the writes of the shards that edits change, those with
// urgent changes first. Edits of shards of another term, and those that do not
// apply, are dropped.
func (c *Controller) shardWrites(edits []edit) []shardWrite {
	byShard := make(map[int][]edit)
	for _, e := range edits {
		index := jobstore.ShardOf(e.job)
		byShard[index] = append(byShard[index], e)
	}
	var all []shardWrite
	for index, edits := range byShard {
		w := shardWrite{shard: c.View.Shard(index)}
		var changed []placement.Job
		for _, e := range edits {
			old, found := w.shard.Find(e.job)
			j, ok := e.change(old)
			if found && ok {
				changed = append(changed, j)
				w.edits = append(w.edits, e)
				w.add(old, j, e.urgent)
			}
		}
		if len(changed) > 0 && w.shard.Term == c.term {
			w.shard = w.shard.With(changed...)
			all = append(all, w)
		}
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].urgent != all[b].urgent {
			return all[a].urgent
		}
		return all[a].shard.Index < all[b].shard.Index
	})
	return all
}

// updateCounters updates the counters after a step.
func (c *Controller) updateCounters(d *placement.Decisions) {
	queued, placed, ended := 0, 0, 0
	for _, j := range c.View.Jobs() {
		switch {
		case j.Phase == placement.Queued:
			queued++
		case j.Phase.Ended():
			ended++
		default:
			placed++
		}
	}
	c.counts.Update(func(counters Counters) (Counters, bool) {
		counters.Steps++
		counters.Queued, counters.Placed, counters.Ended, counters.Quarantined = queued, placed, ended, d.Quarantined
		return counters, true
	})
}
