package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Headroom added to a reported usage, as a fraction of it.
const (
	headroomNumerator   = 11
	headroomDenominator = 10
)

// queuedSize returns the resources that a queued j is placed with: the declared
// ones until j or a job of its kind has reported its usage, and an estimate from
// that usage afterwards. Accelerators are always the declared ones.
func (p *planner) queuedSize(j *Job) fleet.Resources {
	size := p.placeable(j, p.kinds[j.kind()].sizeOf(j.Size).Max(j.Peak))
	size.Accelerators = j.Size.Accelerators
	return size
}

// placedSize returns the resources that a placed j is accounted with. Reports
// lag, so this is the larger of the estimate and the reported peak until the task
// has run for SettleAfter. From then on it is the reported peak with headroom,
// unless the task is throttled.
func (p *planner) placedSize(j *Job) fleet.Resources {
	u := p.snapshot.Usage[j.Attempt.Task]
	size := p.queuedSize(j).Max(u.Peak)
	if u.Ran >= p.policy.SettleAfter && u.Peak.MilliCores > 0 && !j.Throttled && !u.Throttled {
		size = withHeadroom(u.Peak, j.Size)
	}
	size.Accelerators = j.Size.Accelerators
	return size
}

// placeable limits an estimated size to the team's quota and the largest worker,
// so that a job that was admitted can be placed.
func (p *planner) placeable(j *Job, size fleet.Resources) fleet.Resources {
	return size.Min(p.snapshot.Teams[j.Team].Quota.Max(j.Size)).Min(p.largest.Max(j.Size))
}

// withHeadroom returns used with headroom for processors and memory, limited to
// the declared size unless used exceeds it.
func withHeadroom(used, declared fleet.Resources) fleet.Resources {
	more := used
	more.MilliCores = used.MilliCores * headroomNumerator / headroomDenominator
	more.MemoryMB = used.MemoryMB * headroomNumerator / headroomDenominator
	return more.Min(declared.Max(used))
}

// throttled returns size with the processors that a throttled task may use.
func throttled(size fleet.Resources) fleet.Resources {
	size.MilliCores = size.MilliCores * ThrottledPercent / 100
	return size
}

// latestStart returns when j must start to finish by its deadline if it runs
// RunTimeFactor times as long as expected, with DeadlineSlack to spare.
func (p *planner) latestStart(j *Job) time.Time {
	expected := j.RunTime
	if kind := p.kinds[j.kind()]; kind != nil && kind.finished > 0 {
		expected = max(expected, kind.runTime)
	}
	return j.Deadline.Add(-time.Duration(float64(expected)*p.policy.RunTimeFactor) - p.policy.DeadlineSlack)
}
