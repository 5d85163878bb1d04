package placement

import "time"

// evidence holds a worker's failures since its latest success.
type evidence struct {
	lastSuccess time.Time
	failures    int           // of jobs whose kind has finished on some worker
	failedKinds map[Kind]bool // kinds that failed here and have not finished anywhere
}

// maxWorkersPerFailedKind limits the attribution of failures to workers: a
// kind that has never finished and has failed on more workers than this is
// itself taken to be the cause.
const maxWorkersPerFailedKind = 2

// failureCount returns the number of failures that count against the worker.
// Those of a kind that has never finished count once.
func (e *evidence) failureCount() int { return e.failures + len(e.failedKinds) }

// classifyWorkers returns the workers that fail jobs that succeed elsewhere,
// and the workers outside of that set that finished a job within the evidence
// window. Both derive from the jobs alone, so that every entry computes the
// same sets.
func classifyWorkers(s *Snapshot, p Policy, kinds map[Kind]*kindNeeds) (quarantined, proven map[string]bool) {
	workers := make(map[string]*evidence)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Phase == Finished && s.Now.Sub(j.Since) <= p.EvidenceWindow {
			e := evidenceOf(workers, j.Attempt.Worker)
			if j.Since.After(e.lastSuccess) {
				e.lastSuccess = j.Since
			}
		}
	}
	for i := range s.Jobs {
		addFailures(workers, &s.Jobs[i], s.Now, p, kinds)
	}
	quarantined, proven = make(map[string]bool), make(map[string]bool)
	for id, e := range workers {
		quarantined[id] = e.failureCount() >= p.WorkerFailures
		proven[id] = !quarantined[id] && !e.lastSuccess.IsZero()
	}
	return quarantined, proven
}

// addFailures counts the recent failures of a job against the workers, except
// where the job's kind is taken to be the cause.
func addFailures(workers map[string]*evidence, j *Job, now time.Time, p Policy, kinds map[Kind]*kindNeeds) {
	for _, f := range j.Failures {
		e := evidenceOf(workers, f.Worker)
		if now.Sub(f.At) > p.EvidenceWindow || !f.At.After(e.lastSuccess) {
			continue
		}
		switch kind := kinds[j.kind()]; {
		case kind.finished > 0:
			e.failures++
		case len(kind.failedOn) <= maxWorkersPerFailedKind:
			e.failedKinds[j.kind()] = true
		}
	}
}

func evidenceOf(workers map[string]*evidence, id string) *evidence {
	e, ok := workers[id]
	if !ok {
		e = &evidence{failedKinds: make(map[Kind]bool)}
		workers[id] = e
	}
	return e
}
