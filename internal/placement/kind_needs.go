package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// perMilleTotal is the per mille value of a job that uses what it declared.
const perMilleTotal = 1000

// kindNeeds holds the observed needs of the jobs of one kind.
type kindNeeds struct {
	processors int           // maximum of used processors, per mille of the declared ones
	memory     int           // maximum of used memory, per mille of the declared memory
	runTime    time.Duration // maximum
	finished   int
	failedOn   map[string]bool // workers with a failure within the evidence window
}

// collectKindNeeds derives the needs of each kind from the jobs that finished
// or failed.
func collectKindNeeds(s *Snapshot, p Policy) map[Kind]*kindNeeds {
	kinds := make(map[Kind]*kindNeeds)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Phase != Finished && len(j.Failures) == 0 {
			continue
		}
		k, ok := kinds[j.kind()]
		if !ok {
			k = &kindNeeds{failedOn: make(map[string]bool)}
			kinds[j.kind()] = k
		}
		k.add(j, s.Now, p)
	}
	return kinds
}

// add accounts for a job. A job that finished before its usage can have been
// fully reported counts with at least its declared size.
func (k *kindNeeds) add(j *Job, now time.Time, p Policy) {
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
	k.processors = max(k.processors, perMille(used.MilliCores, j.Size.MilliCores))
	k.memory = max(k.memory, perMille(used.MemoryMB, j.Size.MemoryMB))
}

func perMille(part, whole int) int { return part * perMilleTotal / max(whole, 1) }

// sizeOf returns an estimate of what a job with the declared size uses, with
// headroom. Without a finished job of the kind, it is the declared size.
func (k *kindNeeds) sizeOf(declared fleet.Resources) fleet.Resources {
	if k == nil || k.finished == 0 {
		return declared
	}
	used := fleet.Resources{MilliCores: declared.MilliCores * k.processors / perMilleTotal, MemoryMB: declared.MemoryMB * k.memory / perMilleTotal}
	return withHeadroom(used, declared)
}
