package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// wholePerMille is the ratio of jobs that use what they declared.
const wholePerMille = 1000

// learned is what jobs of one kind were seen to need.
type learned struct {
	cores    int           // the most processors that one used, per mille of what it declared
	memory   int           // the most memory that one used, per mille of what it declared
	runTime  time.Duration // the longest that one ran
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

// add takes a job into account. One that ended before it can have been reported
// in full shows no less than what it declared.
func (k *learned) add(j *Job, now time.Time, p Policy) {
	for _, f := range j.Failures {
		if now.Sub(f.At) <= p.EvidenceWindow {
			k.failedOn[f.Worker] = true
		}
	}
	if j.Phase != Finished {
		return
	}
	k.finished++
	k.runTime = max(k.runTime, j.Ran)
	used := j.Peak
	if j.Ran < p.SettleAfter || used.MilliCores == 0 {
		used = used.Max(j.Size)
	}
	k.cores = max(k.cores, perMille(used.MilliCores, j.Size.MilliCores))
	k.memory = max(k.memory, perMille(used.MemoryMB, j.Size.MemoryMB))
}

func perMille(part, whole int) int { return part * wholePerMille / max(whole, 1) }

// sizeOf returns what a job that declared size is likely to use.
func (k *learned) sizeOf(declared fleet.Resources) fleet.Resources {
	if k == nil || k.finished == 0 {
		return declared
	}
	used := fleet.Resources{MilliCores: declared.MilliCores * k.cores / wholePerMille, MemoryMB: declared.MemoryMB * k.memory / wholePerMille}
	return withHeadroom(used, declared)
}
