package ledger_test

import (
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// runSummary holds the counts of one run or the sums over several.
type runSummary struct {
	ranTwice         int // keys that ran more than once
	falseNotRun      int // results not-run for keys that ran
	falseCompleted   int // results completed for keys that did not run
	differentAnswers int // results completed with another answer than an earlier result of the key
	results          int
	completed        int
	replayed         int
	notRun           int
	inProgress       int // results unknown with kind Conflict (status 409), while the first attempt runs
	unknown          int // all other results unknown
	keys             int
	batches          uint64
	folds            uint64
	ambiguous        uint64
	conflicts        uint64
	passedOver       uint64
	withdrawn        uint64
	failures         []string
}

// summarize compares the results that callers received with the executions, at
// the end of a run.
func summarize(r *run) runSummary {
	var s runSummary
	answers := map[request.Key]string{}
	for _, result := range r.results {
		s.count(result)
		ran, _ := r.executions.Get(result.key)
		switch {
		case result.outcome == fleet.NotRun && ran > 0:
			s.falseNotRun++
			s.failures = append(s.failures, "ran although reported as not-run: "+string(result.key))
		case result.outcome == fleet.Completed && ran == 0:
			s.falseCompleted++
		case result.outcome == fleet.Completed && answers[result.key] != "" && answers[result.key] != result.body:
			s.differentAnswers++
		case result.outcome == fleet.Completed:
			answers[result.key] = result.body
		}
	}
	r.executions.Range(func(key request.Key, n int) bool {
		s.keys++
		if n > 1 {
			s.ranTwice++
			s.failures = append(s.failures, "ran more than once: "+string(key))
		}
		return true
	})
	for _, l := range r.ledgers {
		counts := l.Counters().Snapshot()
		s.batches += counts["batches"]
		s.folds += counts["folds"]
		s.ambiguous += counts["writesAmbiguous"]
		s.conflicts += counts["conflicts"]
		s.passedOver += counts["ownersPassedOver"]
		s.withdrawn += counts["claimsWithdrawn"]
	}
	return s
}

func (s *runSummary) count(result callerResult) {
	s.results++
	switch {
	case result.outcome == fleet.Completed:
		s.completed++
	case result.outcome == fleet.NotRun:
		s.notRun++
	case result.inProgress:
		s.inProgress++
	default:
		s.unknown++
	}
	if result.replayed {
		s.replayed++
	}
}

// add adds the counts of o to s.
func (s *runSummary) add(o runSummary) {
	s.ranTwice += o.ranTwice
	s.falseNotRun += o.falseNotRun
	s.falseCompleted += o.falseCompleted
	s.differentAnswers += o.differentAnswers
	s.results += o.results
	s.completed += o.completed
	s.replayed += o.replayed
	s.notRun += o.notRun
	s.inProgress += o.inProgress
	s.unknown += o.unknown
	s.keys += o.keys
	s.batches += o.batches
	s.folds += o.folds
	s.ambiguous += o.ambiguous
	s.conflicts += o.conflicts
	s.passedOver += o.passedOver
	s.withdrawn += o.withdrawn
	s.failures = append(s.failures, o.failures...)
}
