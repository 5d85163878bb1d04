package ledger_test

import (
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// verdicts are what a run, or many, came to.
type verdicts struct {
	doubles     int // keys that ran more than once
	untrue      int // keys that ran although a caller was told not-run
	unfounded   int // keys that did not run although a caller was told completed
	differing   int // keys whose callers were given two answers
	words       int
	completed   int
	replayed    int
	notRun      int
	inProgress  int // the word unknown with 409, while the first attempt runs
	unknown     int // every other word unknown
	keys        int
	batches     uint64
	folds       uint64
	ambiguous   uint64
	conflicts   uint64
	passedOver  uint64
	withdrawn   uint64
	firstFaults []string
}

// judge holds what callers were told against what ran, at the end of the run.
func judge(r *run) verdicts {
	var v verdicts
	answers := map[request.Key]string{}
	for _, w := range r.words {
		v.count(w)
		ran, _ := r.executions.Get(w.key)
		switch {
		case w.outcome == fleet.NotRun && ran > 0:
			v.untrue++
			v.firstFaults = append(v.firstFaults, "ran though not-run: "+string(w.key))
		case w.outcome == fleet.Completed && ran == 0:
			v.unfounded++
		case w.outcome == fleet.Completed && answers[w.key] != "" && answers[w.key] != w.body:
			v.differing++
		case w.outcome == fleet.Completed:
			answers[w.key] = w.body
		}
	}
	r.executions.Range(func(key request.Key, n int) bool {
		v.keys++
		if n > 1 {
			v.doubles++
			v.firstFaults = append(v.firstFaults, "double: "+string(key))
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

func (v *verdicts) count(w told) {
	v.words++
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

// add sums up.
func (v *verdicts) add(o verdicts) {
	v.doubles += o.doubles
	v.untrue += o.untrue
	v.unfounded += o.unfounded
	v.differing += o.differing
	v.words += o.words
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
	v.firstFaults = append(v.firstFaults, o.firstFaults...)
}
