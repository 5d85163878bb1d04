package scheduler_test

import (
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
)

// takeOverStore is the platform's store, with the jobs of one pool.
type takeOverStore struct {
	s        *takeOverSim
	revision int64
	owner    int64 // fencing token; 0: none
	roster   scheduler.WorkerRoster
	jobs     []*takeOverJob // in the order of their acceptance
	byID     map[string]*takeOverJob
	late     []takeOverWrite
}

func (t *takeOverStore) accept(sub scheduler.Submission) {
	t.revision++
	j := &takeOverJob{sub: sub, created: t.revision, revision: t.revision}
	t.jobs, t.byID[sub.ID] = append(t.jobs, j), j
}

// tick carries out the writes whose time has come.
func (t *takeOverStore) tick() {
	var later []takeOverWrite
	for _, w := range t.late {
		if t.s.now.Before(w.at) {
			later = append(later, w)
		} else {
			w.then()
		}
	}
	t.late = later
}

// conditionsMet reports whether a save's conditions on the owner and the progress hold.
func (t *takeOverStore) conditionsMet(token int64, items []scheduler.SaveItem) bool {
	for i := range items {
		if t.byID[items[i].Job].revision != items[i].Revision {
			return false
		}
	}
	return token == t.owner
}

func (t *takeOverStore) apply(items []scheduler.SaveItem) {
	t.revision++
	for i := range items {
		j := t.byID[items[i].Job]
		j.progress, j.revision = items[i].Progress, t.revision
		j.removed = j.removed || items[i].Remove
	}
}

// save carries out a save, refuses it, loses it, or carries it out late, as the faults of
// the moment have it. It returns how long its caller waits for the outcome, and the error.
// A conflict is a problem of that kind.
func (t *takeOverStore) save(token int64, items []scheduler.SaveItem) (time.Duration, error) {
	noResponse := problem.New(problem.Timeout, problem.StepStoreWrite, "", "no response")
	roll := t.s.random.Intn(100)
	applies := func() {
		if t.conditionsMet(token, items) {
			t.apply(items)
		}
	}
	switch refused, lost, late := t.s.faultShares(); {
	case roll < refused:
		return 0, problem.New(problem.Overloaded, problem.StepStoreWrite, "", "refused")
	case roll < refused+lost/2:
		return storeTimeout, noResponse
	case roll < refused+lost:
		applies()
		return storeTimeout, noResponse
	case roll < refused+lost+late:
		t.late = append(t.late, takeOverWrite{at: t.s.now.Add(t.s.between(500, 4000)), then: applies})
		return storeTimeout, noResponse
	}
	if !t.conditionsMet(token, items) {
		return t.s.between(5, 60), problem.New(problem.Conflict, problem.StepStoreWrite, "", "conditions not met")
	}
	t.apply(items)
	return t.s.between(5, 60), nil
}
