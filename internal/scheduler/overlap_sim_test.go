package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapSim simulates owners, several of which may work at once, with workers and a
// store in virtual time. It runs in one goroutine; a seed gives the same run each time.
type overlapSim struct {
	faults        overlapFaults
	random        *rand.Rand
	now           time.Time
	events        overlapEvents
	eventCount    int
	trace         overlapTrace
	store         *overlapStore
	machines      []*overlapMachine
	listRev       int64           // number of changes of the platform's list of workers
	owners        []*overlapOwner // those that have not ended
	previousOwner *overlapOwner   // the one before the present one
	ownerSince    time.Time       // when the present one took over
	starts        map[scheduler.TaskID][]overlapStart
	ends          map[scheduler.TaskID][]*overlapEnd
	failedRuns    map[scheduler.TaskID]int
	lateStarts    map[scheduler.TaskID]time.Time // when the last start that has no answer is carried out
	jobCount      int                            // number of accepted jobs
	replyDelay    time.Duration                  // that the owner's full link adds to each answer
	noFaults      bool
	violation     string // the first violation of a rule, with its trace; empty: none
}

func newOverlapSim(seed int64, faults overlapFaults) *overlapSim {
	s := &overlapSim{
		faults: faults, random: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), store: newOverlapStore(),
		starts: map[scheduler.TaskID][]overlapStart{}, ends: map[scheduler.TaskID][]*overlapEnd{}, failedRuns: map[scheduler.TaskID]int{}, lateStarts: map[scheduler.TaskID]time.Time{},
	}
	s.trace.startedAt = s.now
	s.store.onSaved = s.checkSaved
	for i := range 4 {
		m := &overlapMachine{name: fmt.Sprint("m", i), address: fmt.Sprint("a", i)}
		s.machines = append(s.machines, m)
		s.startWorker(m, fmt.Sprint("w", i), 0)
	}
	s.acquire(0, 0)
	s.after(s.between(2000, 5000), s.changeOwner)
	s.after(s.between(300, 600), s.submit)
	if !faults.NoLosses {
		s.after(s.between(200, 1500), s.injectFault)
	}
	if faults.ReplyDelay > 0 {
		s.after(s.between(500, 2000), s.fillLink)
	}
	return s
}

// between returns a random duration between least and most milliseconds.
func (s *overlapSim) between(least, most int) time.Duration {
	return time.Duration(least*1000+s.random.Intn((most-least)*1000+1)) * time.Microsecond
}

// chance returns true for the given percentage of calls, and false once no faults are
// injected.
func (s *overlapSim) chance(percent int) bool { return s.random.Intn(100) < percent && !s.noFaults }

// after schedules a call of do after d.
func (s *overlapSim) after(d time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.events, overlapEvent{at: s.now.Add(max(d, 0)), sequence: s.eventCount, do: do})
}

// log adds a line to the trace.
func (s *overlapSim) log(job string, task scheduler.TaskID, incarnation, format string, args ...any) {
	s.trace.lines = append(s.trace.lines, overlapTraceLine{at: s.now, job: job, task: task, incarnation: incarnation, text: fmt.Sprintf(format, args...)})
}

// violated records the violation of a rule. The first one ends the simulation.
func (s *overlapSim) violated(task scheduler.TaskID, format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%9.3f ", s.now.Sub(s.trace.startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n" + s.trace.of(task)
	}
}

// runUntil runs the events that are due by t, until done returns true.
func (s *overlapSim) runUntil(t time.Time, done func() bool) {
	for len(s.events) > 0 && s.violation == "" && !s.events[0].at.After(t) && !done() {
		e := heap.Pop(&s.events).(overlapEvent)
		s.now = e.at
		e.do()
	}
}

// run runs the simulation: 20 seconds with faults, and up to 40 without. It returns the
// rule that was violated with the trace, or an empty string.
func (s *overlapSim) run() string {
	s.runUntil(s.trace.startedAt.Add(20*time.Second), func() bool { return false })
	s.noFaults, s.replyDelay = true, 0
	s.log("", scheduler.TaskID{}, "", "calm")
	for _, m := range s.machines {
		m.cutOffUntil = time.Time{}
	}
	s.runUntil(s.now.Add(40*time.Second), s.allEnded)
	if s.violation == "" {
		s.checkAllEnded()
	}
	return s.violation
}

func (s *overlapSim) allEnded() bool {
	for _, id := range s.store.jobIDs {
		if !s.store.jobs[id].progress.State.Final() {
			return false
		}
	}
	return true
}

// submit accepts a job. Each owner receives it from its watch, in order, and one owner
// may also receive a notice.
func (s *overlapSim) submit() {
	if s.noFaults {
		return
	}
	pause := s.between(50, 400)
	if s.faults.Recuts {
		pause = s.between(200, 2500) // workers are idle at times, and are not polled then
	}
	s.after(pause, s.submit)
	s.jobCount++
	sub := batchJob(fmt.Sprintf("job-%04d", s.jobCount), 1+s.random.Intn(3))
	sub.Steps[0].Need = simTaskNeed
	sub.AcceptedAt = s.now
	j := s.store.accept(sub)
	s.log(sub.ID, scheduler.TaskID{}, "", "accepted at revision %d", j.created)
	for _, o := range s.owners {
		s.sendWatchEvent(o, j)
	}
	if s.chance(70) {
		target := s.knownOwner()
		s.after(s.between(1, 50), func() {
			if target != nil {
				target.notified(j)
			}
		})
	}
}

// sendWatchEvent delivers a job by the owner's watch. Delays preserve the order of events.
func (s *overlapSim) sendWatchEvent(o *overlapOwner, j *overlapJob) {
	delay := s.between(1, 30)
	if (s.faults.OverlappingOwners || s.faults.ThreeOwners) && s.chance(30) {
		delay = s.between(0, 1200)
	}
	o.watchAt = scheduler.Later(o.watchAt, s.now.Add(delay))
	s.after(o.watchAt.Sub(s.now), func() { o.watched(j) })
}

// knownOwner returns the owner that an accepting entry knows: for up to a second after a
// change it may be the previous one.
func (s *overlapSim) knownOwner() *overlapOwner {
	present := s.currentOwner()
	if s.now.Sub(s.ownerSince) < s.between(0, 1000) && s.previousOwner != nil {
		return s.previousOwner
	}
	return present
}

// currentOwner returns the owner that the store names, or nil.
func (s *overlapSim) currentOwner() *overlapOwner {
	for _, o := range s.owners {
		if o.token == s.store.owner {
			return o
		}
	}
	return nil
}
