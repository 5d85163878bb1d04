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
	inProgress       int // results unknown with kind Conflict, while the first attempt runs
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
	var v runSummary
	answers := map[request.Key]string{}
	for _, w := range r.results {
		v.count(w)
		ran, _ := r.executions.Get(w.key)
		switch {
		case w.outcome == fleet.NotRun && ran > 0:
			v.falseNotRun++
			v.failures = append(v.failures, "ran although reported as not-run: "+string(w.key))
		case w.outcome == fleet.Completed && ran == 0:
			v.falseCompleted++
		case w.outcome == fleet.Completed && answers[w.key] != "" && answers[w.key] != w.body:
			v.differentAnswers++
		case w.outcome == fleet.Completed:
			answers[w.key] = w.body
		}
	}
	r.executions.Range(func(key request.Key, n int) bool {
		v.keys++
		if n > 1 {
			v.ranTwice++
			v.failures = append(v.failures, "ran more than once: "+string(key))
		}
		return true
	})
	for _, l := range r.ledgers {
		counts := l.Counters().Snapshot()
		v.batches += counts["batches"]
		v.folds += counts["folds"]
		v.ambiguous += counts["writesAmbiguous"]
		v.conflicts += counts["conflicts"]
		v.passedOver += counts["ownersPassedOver"]
		v.withdrawn += counts["claimsWithdrawn"]
	}
	return v
}

func (v *runSummary) count(w callerResult) {
	v.results++
	switch {
	case w.outcome == fleet.Completed:
		v.completed++
	case w.outcome == fleet.NotRun:
		v.notRun++
	case w.inProgress:
		v.inProgress++
	default:
		v.unknown++
	}
	if w.replayed {
		v.replayed++
	}
}

// add adds the counts of o to v.
func (v *runSummary) add(o runSummary) {
	v.ranTwice += o.ranTwice
	v.falseNotRun += o.falseNotRun
	v.falseCompleted += o.falseCompleted
	v.differentAnswers += o.differentAnswers
	v.results += o.results
	v.completed += o.completed
	v.replayed += o.replayed
	v.notRun += o.notRun
	v.inProgress += o.inProgress
	v.unknown += o.unknown
	v.keys += o.keys
	v.batches += o.batches
	v.folds += o.folds
	v.ambiguous += o.ambiguous
	v.conflicts += o.conflicts
	v.passedOver += o.passedOver
	v.withdrawn += o.withdrawn
	v.failures = append(v.failures, o.failures...)
}
