package jobs

import (
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
)

// pending is one shard to be written, with what the write does.
type pending struct {
	shard       jobstore.Shard
	edits       []edit
	urgent      bool
	starts      uint64
	preemptions uint64
	wasted      uint64
}

// add notes the change of one job.
func (p *pending) add(old, changed placement.Job, urgent bool) {
	p.urgent = p.urgent || urgent || changed.Class == fleet.Urgent
	if changed.Phase == placement.Starting && old.Phase == placement.Queued {
		p.starts++
	}
	if changed.Phase == placement.Leaving || changed.Throttled && !old.Throttled {
		p.preemptions++
	}
	if len(changed.Failures) > 0 && old.Phase.Placed() && !changed.Phase.Placed() && changed.Failures[len(changed.Failures)-1].At.Equal(changed.Since) {
		p.wasted++
	}
}

// count adds what was written to c.
func (p *pending) count(c Counters) Counters {
	c.Starts += p.starts
	c.Preemptions += p.preemptions
	c.WastedStarts += p.wasted
	return c
}
