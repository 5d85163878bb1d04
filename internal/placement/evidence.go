package placement

import "time"

// evidence is what speaks against a worker.
type evidence struct {
	lastSuccess time.Time
	failures    int           // of jobs whose kind runs elsewhere
	kinds       map[Kind]bool // that failed here and ran nowhere yet
}

// maxKindWorkers is on how many workers a kind that never ran may have failed
// for its failures to speak against a worker, and not against the kind.
const maxKindWorkers = 2

// score counts the failures since the worker's latest success.
func (e *evidence) score() int { return e.failures + len(e.kinds) }

// quarantined returns the workers that fail what others run, and all workers
// that have finished a job of late. Both follow from the jobs alone, so that
// every entry finds the same.
func quarantined(s *Snapshot, p Policy, kinds map[Kind]*learned) (bad, proven map[string]bool) {
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
	bad, proven = make(map[string]bool), make(map[string]bool)
	for id, e := range workers {
		bad[id] = e.score() >= p.WorkerFailures
		proven[id] = !bad[id] && !e.lastSuccess.IsZero()
	}
	return bad, proven
}

// addFailures counts the failures of a job against the workers, unless they
// speak against the job.
func addFailures(workers map[string]*evidence, j *Job, now time.Time, p Policy, kinds map[Kind]*learned) {
	for _, f := range j.Failures {
		e := evidenceOf(workers, f.Worker)
		if now.Sub(f.At) > p.EvidenceWindow || !f.At.After(e.lastSuccess) {
			continue
		}
		switch kind := kinds[j.kind()]; {
		case kind.finished > 0:
			e.failures++
		case len(kind.failedOn) <= maxKindWorkers:
			e.kinds[j.kind()] = true
		}
	}
}

func evidenceOf(workers map[string]*evidence, id string) *evidence {
	e, ok := workers[id]
	if !ok {
		e = &evidence{kinds: make(map[Kind]bool)}
		workers[id] = e
	}
	return e
}
