package scheduler_test

import (
	"math/rand"
	"sort"
	"time"

	"persimmonbay/internal/scheduler"
)

// simWorker is a worker in virtual time that follows the platform's protocol: its runs
// end with its lease, it refuses orders with a lower fencing token than it has seen, it
// reports ends until they are acknowledged, and it refuses an attempt that is not higher
// than the highest that has ended there.
type simWorker struct {
	info           scheduler.WorkerInfo
	incarnation    time.Time // when its process started
	clockStart     int64     // what its clock showed then, in milliseconds
	longRuns       bool      // some of its runs take longer than a lease
	token          int64     // highest fencing token that it has seen
	lease          time.Time // end of the lease of all its runs
	running        map[scheduler.TaskID]simRun
	highest        map[scheduler.TaskID]int // highest attempt that ended or was stopped
	ends           []scheduler.EndReport    // not acknowledged yet
	lastEnd        int64                    // number of its last end
	cutOffUntil    time.Time                // nothing reaches it before
	leaseExpired   bool
	onAck          func(scheduler.EndReport)
	failedRuns     map[scheduler.TaskID]int  // failed runs on all workers
	expiredUnacked map[scheduler.TaskID]bool // ended as done, and the lease expired before the end was acknowledged
}

func newSimWorker(info scheduler.WorkerInfo, now time.Time, failedRuns map[scheduler.TaskID]int, onAck func(scheduler.EndReport)) *simWorker {
	info.Incarnation = now.UnixMilli()
	return &simWorker{onAck: onAck, failedRuns: failedRuns, info: info, incarnation: now, running: map[scheduler.TaskID]simRun{}, highest: map[scheduler.TaskID]int{}, expiredUnacked: map[scheduler.TaskID]bool{}}
}

// clock returns the worker's clock at now, in milliseconds.
func (w *simWorker) clock(now time.Time) int64 {
	return w.clockStart + now.Sub(w.incarnation).Milliseconds() + 1
}

// advance ends the runs that are complete by now or whose lease has expired.
func (w *simWorker) advance(now time.Time) {
	var ids []scheduler.TaskID
	for id := range w.running {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool {
		return ids[a].Job+string(rune(ids[a].Index)) < ids[b].Job+string(rune(ids[b].Index))
	})
	for _, id := range ids {
		r := w.running[id]
		switch {
		case r.endsAt.Before(w.lease) && !now.Before(r.endsAt):
			kind := scheduler.EndDone
			if r.fails {
				kind = scheduler.EndFailed
			}
			w.end(id, kind)
		case !now.Before(w.lease):
			w.end(id, scheduler.EndLeaseExpired)
		}
	}
	w.recordExpiry(now)
}

// recordExpiry records that the lease has expired. From then on, a task with an end
// that is not acknowledged may start again.
func (w *simWorker) recordExpiry(now time.Time) {
	if w.leaseExpired || now.Before(w.lease) {
		return
	}
	w.leaseExpired = true
	for _, e := range w.ends {
		if e.Kind == scheduler.EndDone {
			w.expiredUnacked[e.Task] = true
		}
	}
}

// end records the end of a run, to be reported until it is acknowledged.
func (w *simWorker) end(id scheduler.TaskID, kind scheduler.EndKind) {
	r := w.running[id]
	delete(w.running, id)
	if kind == scheduler.EndFailed {
		w.failedRuns[id]++
	}
	w.highest[id] = max(w.highest[id], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, scheduler.EndReport{Number: w.lastEnd, Task: id, Attempt: r.attempt, Kind: kind})
}

func (w *simWorker) used() int {
	used := 0
	for range w.running {
		used += simTaskNeed.MilliCPU
	}
	return used
}

// simTaskNeed is the capacity that each simulated task needs.
var simTaskNeed = scheduler.Resources{MilliCPU: 8000}

func (w *simWorker) start(o scheduler.StartOrder, now time.Time, random *rand.Rand) scheduler.OrderResult {
	w.advance(now)
	switch {
	case o.Token < w.token:
		return scheduler.Fenced
	case w.running[o.Task].attempt == o.Attempt:
		return scheduler.Accepted
	case o.Attempt <= w.highest[o.Task]:
		return scheduler.Outdated
	case o.Deadline <= w.clock(now):
		return scheduler.TooLate
	case w.used()+simTaskNeed.MilliCPU > w.info.Capacity.MilliCPU:
		return scheduler.InsufficientCapacity
	}
	w.token = o.Token
	w.extend(o.Deadline)
	w.running[o.Task] = simRun{attempt: o.Attempt, endsAt: now.Add(w.runTime(random)), fails: random.Intn(12) == 0}
	return scheduler.Accepted
}

// runTime returns how long the next run takes.
func (w *simWorker) runTime(random *rand.Rand) time.Duration {
	if w.longRuns && random.Intn(100) < longRunPercent {
		return time.Duration(3000+random.Intn(6000)) * time.Millisecond
	}
	return time.Duration(100+random.Intn(1500)) * time.Millisecond
}

// longRunPercent is the share of runs that take longer than a lease, where there are some.
const longRunPercent = 40

// extend extends the lease to a deadline on the worker's clock, in milliseconds.
func (w *simWorker) extend(deadline int64) {
	if until := w.incarnation.Add(time.Duration(deadline-1-w.clockStart) * time.Millisecond); until.After(w.lease) {
		w.lease, w.leaseExpired = until, false
	}
}

func (w *simWorker) stop(o scheduler.StopOrder, now time.Time) scheduler.OrderResult {
	w.advance(now)
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
	w.advance(now)
	if r.Token < w.token {
		return scheduler.PollReply{}, scheduler.Fenced
	}
	w.token = r.Token
	if r.Deadline > 0 {
		w.extend(r.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].Number <= r.AckedEnds {
		w.onAck(w.ends[0])
		w.ends = w.ends[1:]
	}
	reply := scheduler.PollReply{Worker: r.Worker, SentAt: sent, ReceivedAt: now, AckedEnds: r.AckedEnds, Token: r.Token, Incarnation: w.incarnation.UnixMilli(), Clock: w.clock(now), Ends: append([]scheduler.EndReport(nil), w.ends...)}
	for id, run := range w.running {
		reply.Running = append(reply.Running, scheduler.RunReport{Task: id, Attempt: run.attempt, Percent: 100})
	}
	return reply, scheduler.Accepted
}
