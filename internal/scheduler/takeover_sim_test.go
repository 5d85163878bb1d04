package scheduler_test

import (
	"fmt"
	"math/rand"
	"time"

	"persimmonbay/internal/scheduler"
)

// takeOverSim simulates owners that lose a pool with a large backlog, one after the other,
// while the store refuses, loses and delays writes. It runs in virtual time, in one
// goroutine.
type takeOverSim struct {
	random    *rand.Rand
	now       time.Time
	startedAt time.Time
	lostAt    time.Time // when the present owner's predecessor lost the pool
	store     *takeOverStore
	workers   []*takeOverWorker
	byID      map[string]*takeOverWorker
	owners    []*takeOverOwner
	calm      bool
	done      map[scheduler.TaskID]time.Time // when a run ended as done
	restarted map[scheduler.TaskID]bool      // it started again after that
	violation string                         // the first violation of a rule; empty: none
}

const (
	takeOverTick       = 50 * time.Millisecond
	takeOverUnsaved    = 3000 // changes that the first owner can't save
	takeOverWaiting    = 5000 // jobs that wait then
	longRunningPrefix  = 'L'
	takeOverStartBound = 3 * time.Second // beyond the lease of the former owner
)

func newTakeOverSim(seed int64) *takeOverSim {
	s := &takeOverSim{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0),
		byID: map[string]*takeOverWorker{}, done: map[scheduler.TaskID]time.Time{}, restarted: map[scheduler.TaskID]bool{},
	}
	s.startedAt = s.now
	s.store = &takeOverStore{s: s, byID: map[string]*takeOverJob{}}
	for i := range 40 {
		w := &takeOverWorker{s: s, info: worker(fmt.Sprintf("w%02d", i)), runs: map[scheduler.TaskID]*takeOverRun{}, ended: map[scheduler.TaskID]int{}}
		s.workers, s.byID[w.info.ID] = append(s.workers, w), w
	}
	s.accept(longRunningJob("L-running", 8))
	for i := range takeOverUnsaved + takeOverWaiting {
		s.accept(batchJob(fmt.Sprintf("job-%04d", i), 1))
	}
	return s
}

func (s *takeOverSim) accept(sub scheduler.Submission) {
	sub.AcceptedAt = s.now
	s.store.accept(sub)
}

func (s *takeOverSim) elapsed() time.Duration { return s.now.Sub(s.startedAt) }

// between returns a random duration between least and most milliseconds.
func (s *takeOverSim) between(least, most int) time.Duration {
	return time.Duration(least+s.random.Intn(most-least+1)) * time.Millisecond
}

// faultShares returns the percentages of writes that are refused, that are lost or whose
// response is, and that are carried out late. The first owner can save nothing in time.
func (s *takeOverSim) faultShares() (refused, lost, late int) {
	switch {
	case s.calm:
		return 0, 0, 0
	case len(s.owners) == 1:
		return 50, 25, 25
	}
	return 20, 15, 10
}

// failedPages returns the percentage of reads that the store refuses.
func (s *takeOverSim) failedPages() int {
	if s.calm || len(s.owners) == 1 {
		return 0
	}
	return 25
}

// lostAnswers returns the percentage of orders whose answers are lost.
func (s *takeOverSim) lostAnswers() int {
	if s.calm {
		return 0
	}
	return 1
}

func (s *takeOverSim) infos() []scheduler.WorkerInfo {
	var infos []scheduler.WorkerInfo
	for _, w := range s.workers {
		infos = append(infos, w.info)
	}
	return infos
}

// next returns the time of the next step, which is at most end. Pages of a load arrive at
// times of their own: the rest takes place in steps of takeOverTick.
func (s *takeOverSim) next(end time.Time) time.Time {
	next := s.now.Add(takeOverTick)
	if end.Before(next) {
		next = end
	}
	for _, o := range s.owners {
		if !o.ended && o.pool.Loading() && o.pageAt.After(s.now) && o.pageAt.Before(next) {
			next = o.pageAt
		}
	}
	return next
}

// runUntil lets time pass until done returns true, for longest at most, and reports
// whether it did.
func (s *takeOverSim) runUntil(longest time.Duration, done func() bool) bool {
	for end := s.now.Add(longest); s.now.Before(end) && s.violation == ""; {
		s.now = s.next(end)
		s.store.tick()
		for _, w := range s.workers {
			w.tick()
		}
		for _, o := range s.owners {
			o.tick()
		}
		if done() {
			return true
		}
	}
	return false
}

// changeOwner has the present owner lose the pool, and another one take it over within a
// second. The former one does not know, and may act for the rest of its lease.
func (s *takeOverSim) changeOwner() {
	former := s.present()
	former.endsAt = s.now.Add(timing.FormerOwnerLease)
	s.store.revision++
	s.store.owner, s.lostAt = 0, s.now
	s.accept(longRunningJob(fmt.Sprintf("L-waiting-%d", len(s.owners)), 8))
	s.runUntil(s.between(50, 1000), func() bool { return false })
	s.owners = append(s.owners, newTakeOverOwner(s))
	s.present().tick()
}

func (s *takeOverSim) present() *takeOverOwner { return s.owners[len(s.owners)-1] }

// run returns the first rule that was violated, or an empty string.
func (s *takeOverSim) run() string {
	s.owners = append(s.owners, newTakeOverOwner(s))
	if !s.runUntil(20*time.Second, func() bool { return len(s.done) >= takeOverUnsaved }) {
		s.violated("the first owner ended %d tasks", len(s.done))
	}
	s.changeOwner()
	for s.random.Intn(2) == 0 && len(s.owners) < 4 {
		s.runUntil(s.between(500, 6000), func() bool { return false })
		s.changeOwner()
	}
	s.runUntil(timing.FormerOwnerLease+takeOverStartBound, func() bool { return !s.present().firstStartAt.IsZero() })
	if s.present().firstStartAt.IsZero() {
		s.violated("the last owner started nothing within %v", s.now.Sub(s.lostAt))
	}
	s.runUntil(2*time.Second, func() bool { return false })
	s.calm = true
	if !s.runUntil(60*time.Second, s.allCompleted) {
		s.violated("jobs are not completed after 60 s of calm")
	}
	s.checkCalls()
	return s.violation
}
