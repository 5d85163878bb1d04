package scheduler_test

import (
	"math/rand"
	"sort"
	"time"

	"persimmonbay/internal/scheduler"
)

// simRun is a run on a simulated worker.
type simRun struct {
	attempt int
	ends    time.Time
	fails   bool
}

// simWorker is a worker in virtual time, after the platform's pages: it has a
// lease, a fence, a list of ends, and takes nothing older than it has ended.
type simWorker struct {
	facts       scheduler.WorkerInfo
	incarnation time.Time
	token       int64
	lease       time.Time
	running     map[scheduler.TaskID]simRun
	highest     map[scheduler.TaskID]int
	ends        []scheduler.EndReport
	ended       int64
	cut         time.Time // it reaches nobody before
	lapsed      bool
	noted       func(scheduler.EndReport)
	failures    map[scheduler.TaskID]int  // failed ends of all workers
	stale       map[scheduler.TaskID]bool // ended done, and its lease lapsed before anybody took note
}

func newSimWorker(facts scheduler.WorkerInfo, now time.Time, failures map[scheduler.TaskID]int, noted func(scheduler.EndReport)) *simWorker {
	facts.Incarnation = now.UnixMilli()
	return &simWorker{noted: noted, failures: failures, facts: facts, incarnation: now, running: map[scheduler.TaskID]simRun{}, highest: map[scheduler.TaskID]int{}, stale: map[scheduler.TaskID]bool{}}
}

func (w *simWorker) clock(now time.Time) int64 { return now.Sub(w.incarnation).Milliseconds() + 1 }

// pass ends what is over by now.
func (w *simWorker) pass(now time.Time) {
	var over []scheduler.TaskID
	for id := range w.running {
		over = append(over, id)
	}
	sort.Slice(over, func(a, b int) bool {
		return over[a].Job+string(rune(over[a].Index)) < over[b].Job+string(rune(over[b].Index))
	})
	for _, id := range over {
		r := w.running[id]
		switch {
		case r.ends.Before(w.lease) && !now.Before(r.ends):
			kind := scheduler.EndDone
			if r.fails {
				kind = scheduler.EndFailed
			}
			w.end(id, kind)
		case !now.Before(w.lease):
			w.end(id, scheduler.EndLeaseExpired)
		}
	}
	w.lapse(now)
}

// lapse takes in that the lease has ended: after that, nobody is held to the
// ends that were not taken note of.
func (w *simWorker) lapse(now time.Time) {
	if w.lapsed || now.Before(w.lease) {
		return
	}
	w.lapsed = true
	for _, e := range w.ends {
		if e.Kind == scheduler.EndDone {
			w.stale[e.Task] = true
		}
	}
}

func (w *simWorker) end(id scheduler.TaskID, kind scheduler.EndKind) {
	r := w.running[id]
	delete(w.running, id)
	if kind == scheduler.EndFailed {
		w.failures[id]++
	}
	w.highest[id] = max(w.highest[id], r.attempt)
	w.ended++
	w.ends = append(w.ends, scheduler.EndReport{Number: w.ended, Task: id, Attempt: r.attempt, Kind: kind})
}

func (w *simWorker) used() int {
	used := 0
	for range w.running {
		used += simTask.MilliCPU
	}
	return used
}

// simTask is what each simulated task takes.
var simTask = scheduler.Resources{MilliCPU: 8000}

func (w *simWorker) start(o scheduler.StartOrder, now time.Time, random *rand.Rand) scheduler.OrderResult {
	w.pass(now)
	switch {
	case o.Token < w.token:
		return scheduler.Fenced
	case w.running[o.Task].attempt == o.Attempt:
		return scheduler.Accepted
	case o.Attempt <= w.highest[o.Task]:
		return scheduler.Outdated
	case o.Deadline <= w.clock(now):
		return scheduler.TooLate
	case w.used()+simTask.MilliCPU > w.facts.Capacity.MilliCPU:
		return scheduler.NoRoom
	}
	w.token = o.Token
	w.extend(o.Deadline)
	w.running[o.Task] = simRun{attempt: o.Attempt, ends: now.Add(time.Duration(100+random.Intn(1500)) * time.Millisecond), fails: random.Intn(12) == 0}
	return scheduler.Accepted
}

func (w *simWorker) extend(deadline int64) {
	if until := w.incarnation.Add(time.Duration(deadline-1) * time.Millisecond); until.After(w.lease) {
		w.lease, w.lapsed = until, false
	}
}

func (w *simWorker) stop(o scheduler.StopOrder, now time.Time) scheduler.OrderResult {
	w.pass(now)
	if o.Token < w.token {
		return scheduler.Fenced
	}
	w.token = o.Token
	if w.running[o.Task].attempt == o.Attempt {
		w.end(o.Task, scheduler.EndStopped)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	return scheduler.Accepted
}

func (w *simWorker) poll(r scheduler.PollRequest, sent, now time.Time) (scheduler.PollReply, scheduler.OrderResult) {
	w.pass(now)
	if r.Token < w.token {
		return scheduler.PollReply{}, scheduler.Fenced
	}
	w.token = r.Token
	if r.Deadline > 0 {
		w.extend(r.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].Number <= r.AckedEnds {
		w.noted(w.ends[0])
		w.ends = w.ends[1:]
	}
	l := scheduler.PollReply{Worker: r.Worker, SentAt: sent, ReceivedAt: now, AckedEnds: r.AckedEnds, Incarnation: w.incarnation.UnixMilli(), Clock: w.clock(now), Ends: append([]scheduler.EndReport(nil), w.ends...)}
	for id, run := range w.running {
		l.Running = append(l.Running, scheduler.RunReport{Task: id, Attempt: run.attempt, Percent: 100})
	}
	return l, scheduler.Accepted
}
