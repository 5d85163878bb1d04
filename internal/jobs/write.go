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

// edits returns the changes that carry decisions out, but for the lost jobs,
// of which the platform is asked first.
func (k *Controller) edits(d *placement.Decisions, now time.Time) []edit {
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
	for _, h := range d.GivenUp {
		edits = append(edits, edit{job: h.Job, change: func(j placement.Job) (placement.Job, bool) { return j.GiveUp(now, h.Reason) }})
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

// write makes edits, one write a shard, and returns false when some are left
// for the next step: writes are short, or another came first.
func (k *Controller) write(ctx context.Context, edits []edit, planned time.Time) bool {
	if k.clock.Since(planned) > maxPlanAge {
		return false
	}
	return len(k.writeShards(ctx, edits)) == 0
}

// writeAnswers writes down what the platform told, and keeps what could not be
// written for the next step. Calls may add more meanwhile.
func (k *Controller) writeAnswers(ctx context.Context) bool {
	var edits []edit
	k.answers.Update(func(old []edit) ([]edit, bool) { edits = old; return nil, true })
	missed := k.writeShards(ctx, edits)
	k.answers.Update(func(added []edit) ([]edit, bool) { return append(missed, added...), true })
	return len(missed) == 0
}

// writeShards makes edits, one write a shard, and returns those that were not
// made.
func (k *Controller) writeShards(ctx context.Context, edits []edit) []edit {
	missed := shard.NewCell[[]edit](nil)
	miss := func(p pending) {
		missed.Update(func(old []edit) ([]edit, bool) { return append(old, p.edits...), true })
	}
	var writes sync.WaitGroup
	for _, p := range k.pending(edits) {
		if !k.writes.AllowN(k.clock.Now(), 1) {
			miss(p)
			continue
		}
		writes.Add(1)
		k.Spawn(func() {
			defer writes.Done()
			if !k.save(ctx, p.shard) {
				miss(p)
				return
			}
			k.counts.Update(func(c Counters) (Counters, bool) { return p.count(c), true })
		})
	}
	writes.Wait()
	return missed.Get()
}

// pending returns the shards that edits change, those with urgent changes
// first. A shard of another term is left alone.
func (k *Controller) pending(edits []edit) []pending {
	byShard := make(map[int][]edit)
	for _, e := range edits {
		index := jobstore.ShardOf(e.job)
		byShard[index] = append(byShard[index], e)
	}
	var all []pending
	for index, edits := range byShard {
		p := pending{shard: k.View.Shard(index)}
		var changed []placement.Job
		for _, e := range edits {
			old, found := p.shard.Find(e.job)
			j, ok := e.change(old)
			if found && ok {
				changed = append(changed, j)
				p.edits = append(p.edits, e)
				p.add(old, j, e.urgent)
			}
		}
		if len(changed) > 0 && p.shard.Term == k.term {
			p.shard = p.shard.With(changed...)
			all = append(all, p)
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

// note counts what there is after a step.
func (k *Controller) note(d *placement.Decisions) {
	queued, placed, ended := 0, 0, 0
	for _, j := range k.View.Jobs() {
		switch {
		case j.Phase == placement.Queued:
			queued++
		case j.Phase.Ended():
			ended++
		default:
			placed++
		}
	}
	k.counts.Update(func(c Counters) (Counters, bool) {
		c.Steps++
		c.Queued, c.Placed, c.Ended, c.Quarantined = queued, placed, ended, d.Quarantined
		return c, true
	})
}
