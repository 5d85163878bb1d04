package jobs

import (
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
)

// shardWrite is the write of one shard, with the edits in it and the counts
// for the counters.
type shardWrite struct {
	shard       jobstore.Shard
	edits       []edit
	urgent      bool
	starts      uint64
	preemptions uint64
	wasted      uint64
}

// add accounts for the change of one job from old to changed.
func (w *shardWrite) add(old, changed placement.Job, urgent bool) {
	w.urgent = w.urgent || urgent || changed.Class == fleet.Urgent
	if changed.Phase == placement.Starting && old.Phase == placement.Queued {
		w.starts++
	}
	if changed.Phase == placement.Leaving || changed.Throttled && !old.Throttled {
		w.preemptions++
	}
	if len(changed.Failures) > 0 && old.Phase.Placed() && !changed.Phase.Placed() && changed.Failures[len(changed.Failures)-1].At.Equal(changed.Since) {
		w.wasted++
	}
}

// count returns c with the counts of this write added.
func (w *shardWrite) count(c Counters) Counters {
	c.Starts += w.starts
	c.Preemptions += w.preemptions
	c.WastedStarts += w.wasted
	return c
}
