package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// learned is what jobs of one kind were seen to need.
type learned struct {
	size     fleet.Resources // the most that one used
	runTime  time.Duration   // the longest that one ran
	finished int
	failedOn map[string]bool // workers on which one failed of late
}

// learn gathers what the jobs tell of their kinds.
func learn(s *Snapshot, p Policy) map[Kind]*learned {
	kinds := make(map[Kind]*learned)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Phase != Finished && len(j.Failures) == 0 {
			continue
		}
		k, ok := kinds[j.kind()]
		if !ok {
			k = &learned{failedOn: make(map[string]bool)}
			kinds[j.kind()] = k
		}
		k.add(j, s.Now, p)
	}
	return kinds
}

func (k *learned) add(j *Job, now time.Time, p Policy) {
	for _, f := range j.Failures {
		if now.Sub(f.At) <= p.EvidenceWindow {
			k.failedOn[f.Worker] = true
		}
	}
	if j.Phase == Finished {
		k.finished++
		k.size, k.runTime = k.size.Max(j.Peak), max(k.runTime, j.Ran)
	}
}
