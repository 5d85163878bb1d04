package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Headroom over what was reported, as a fraction.
const (
	headroomNumerator   = 11
	headroomDenominator = 10
)

// queuedSize returns the room that a queued j is given: what it declared, until
// it or its kind has shown what it uses. Accelerators are given as declared.
func (p *planner) queuedSize(j *Job) fleet.Resources {
	size := p.placeable(j, p.kinds[j.kind()].sizeOf(j.Size).Max(j.Peak))
	size.Accelerators = j.Size.Accelerators
	return size
}

// placedSize returns the room that a placed j takes up: at least what was
// reported of it, which lags, and no more once it has run for long enough to
// show it.
func (p *planner) placedSize(j *Job) fleet.Resources {
	u := p.s.Usage[j.Attempt.Task]
	size := p.queuedSize(j).Max(u.Peak)
	if u.Ran >= p.policy.SettleAfter && u.Peak.MilliCores > 0 && !j.Throttled && !u.Throttled {
		size = withHeadroom(u.Peak, j.Size)
	}
	size.Accelerators = j.Size.Accelerators
	return size
}

// placeable cuts a learned size to what the team and the largest worker have,
// so that a job that was admitted can be placed.
func (p *planner) placeable(j *Job, size fleet.Resources) fleet.Resources {
	return size.Min(p.s.Teams[j.Team].Quota.Max(j.Size)).Min(p.largest.Max(j.Size))
}

// withHeadroom returns used with some more of each amount, up to what was
// declared.
func withHeadroom(used, declared fleet.Resources) fleet.Resources {
	more := used
	more.MilliCores = used.MilliCores * headroomNumerator / headroomDenominator
	more.MemoryMB = used.MemoryMB * headroomNumerator / headroomDenominator
	return more.Min(declared.Max(used))
}

// throttled returns size with the share of processors of a throttled task.
func throttled(size fleet.Resources) fleet.Resources {
	size.MilliCores = size.MilliCores * ThrottledPercent / 100
	return size
}

// latestStart returns when j must start to finish by its deadline, run times
// being longer than expected by the policy's factor.
func (p *planner) latestStart(j *Job) time.Time {
	expected := j.RunTime
	if kind := p.kinds[j.kind()]; kind != nil && kind.finished > 0 {
		expected = max(expected, kind.runTime)
	}
	return j.Deadline.Add(-time.Duration(float64(expected)*p.policy.RunTimeFactor) - p.policy.DeadlineSlack)
}
