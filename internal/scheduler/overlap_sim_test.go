package scheduler_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapSim plays owners, of which several may be at work at once, against
// workers and a store in virtual time. One goroutine plays all.
type overlapSim struct {
	knobs    overlapKnobs
	random   *rand.Rand
	now      time.Time
	events   overlapEvents
	count    int
	trace    overlapTrace
	store    *overlapStore
	machines []*overlapMachine
	listRev  int64
	owners   []*overlapOwner // those that are not over
	earlier  *overlapOwner   // the one before the last
	changed  time.Time       // when the last took over
	starts   map[scheduler.TaskID][]overlapStart
	ends     map[scheduler.TaskID][]*overlapEnd
	failures map[scheduler.TaskID]int
	jobs     int
	calm     bool
	breach   string
}

func newOverlapSim(seed int64, knobs overlapKnobs) *overlapSim {
	s := &overlapSim{
		knobs: knobs, random: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), store: newOverlapStore(),
		starts: map[scheduler.TaskID][]overlapStart{}, ends: map[scheduler.TaskID][]*overlapEnd{}, failures: map[scheduler.TaskID]int{},
	}
	s.trace.began = s.now
	s.store.saved = s.checkSaved
	for i := range 4 {
		m := &overlapMachine{name: fmt.Sprint("m", i), address: fmt.Sprint("a", i)}
		s.machines = append(s.machines, m)
		s.bear(m, fmt.Sprint("w", i), 0)
	}
	s.acquire(0, 0)
	s.after(s.between(2000, 5000), s.change)
	s.after(s.between(300, 600), s.submit)
	s.after(s.between(200, 1500), s.disturb)
	return s
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// between returns a random time between two numbers of milliseconds.
func (s *overlapSim) between(least, most int) time.Duration {
	return time.Duration(least*1000+s.random.Intn((most-least)*1000+1)) * time.Microsecond
}

func (s *overlapSim) chance(percent int) bool { return s.random.Intn(100) < percent && !s.calm }

func (s *overlapSim) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, overlapEvent{at: s.now.Add(max(d, 0)), order: s.count, do: do})
}

func (s *overlapSim) note(job string, task scheduler.TaskID, life, format string, args ...any) {
	s.trace.lines = append(s.trace.lines, overlapLine{at: s.now, job: job, task: task, incarnation: life, text: fmt.Sprintf(format, args...)})
}

// broken takes in that a rule is broken: the first one ends the play.
func (s *overlapSim) broken(task scheduler.TaskID, format string, args ...any) {
	if s.breach == "" {
		s.breach = fmt.Sprintf("%9.3f ", s.now.Sub(s.trace.began).Seconds()) + fmt.Sprintf(format, args...) + "\n" + s.trace.of(task)
	}
}

// playUntil lets happen what is due by then.
func (s *overlapSim) playUntil(t time.Time, enough func() bool) {
	for len(s.events) > 0 && s.breach == "" && !s.events[0].at.After(t) && !enough() {
		e := heap.Pop(&s.events).(overlapEvent)
		s.now = e.at
		e.do()
	}
}

// run plays a seed, and returns which rule was broken, with the trace.
func (s *overlapSim) run() string {
	s.playUntil(s.trace.began.Add(20*time.Second), func() bool { return false })
	s.calm = true
	s.note("", scheduler.TaskID{}, "", "calm")
	for _, m := range s.machines {
		m.cut = time.Time{}
	}
	s.playUntil(s.now.Add(40*time.Second), s.allOver)
	if s.breach == "" {
		s.checkLost()
	}
	return s.breach
}

func (s *overlapSim) allOver() bool {
	for _, id := range s.store.order {
		if !s.store.jobs[id].progress.State.Final() {
			return false
		}
	}
	return true
}

// submit accepts a job, and tells owners of it: each by its watch, in order,
// and one by a notice.
func (s *overlapSim) submit() {
	if s.calm {
		return
	}
	s.after(s.between(50, 400), s.submit)
	s.jobs++
	sub := batchJob(fmt.Sprintf("job-%04d", s.jobs), 1+s.random.Intn(3))
	sub.Steps[0].Need = simTask
	sub.AcceptedAt = s.now
	j := s.store.accept(sub)
	s.note(sub.ID, scheduler.TaskID{}, "", "accepted at revision %d", j.created)
	for _, o := range s.owners {
		s.tell(o, j)
	}
	if s.chance(70) {
		told := s.believed()
		s.after(s.between(1, 50), func() {
			if told != nil {
				told.notified(j)
			}
		})
	}
}

func (s *overlapSim) tell(o *overlapOwner, j *overlapJob) {
	delay := s.between(1, 30)
	if (s.knobs.Overlap || s.knobs.Chain) && s.chance(30) {
		delay = s.between(0, 1200)
	}
	o.watchAt = scheduler.Later(o.watchAt, s.now.Add(delay))
	s.after(o.watchAt.Sub(s.now), func() { o.watched(j) })
}

// believed returns the owner that an accepting entry knows: for a second after
// a change it may be the earlier one.
func (s *overlapSim) believed() *overlapOwner {
	last := s.last()
	if s.now.Sub(s.changed) < s.between(0, 1000) && s.earlier != nil {
		return s.earlier
	}
	return last
}

func (s *overlapSim) last() *overlapOwner {
	for _, o := range s.owners {
		if o.token == s.store.owner {
			return o
		}
	}
	return nil
}
