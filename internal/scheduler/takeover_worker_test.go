package scheduler_test

import (
	"cmp"
	"slices"

	"persimmonbay/internal/scheduler"
)

// takeOverWorker is a worker that always answers.
type takeOverWorker struct {
	s       *takeOverSim
	info    scheduler.WorkerInfo
	token   int64 // the highest fencing token that it has seen
	lease   int64 // end of its lease, on its clock, in milliseconds
	runs    map[scheduler.TaskID]*takeOverRun
	ended   map[scheduler.TaskID]int // the highest attempt of each task that has ended
	ends    []scheduler.EndReport    // not acknowledged yet
	lastEnd int64
}

func (w *takeOverWorker) clock() int64 { return w.s.elapsed().Milliseconds() + 1 }

// tick ends the runs that are done, and all if the lease has ended.
func (w *takeOverWorker) tick() {
	for _, r := range w.sortedRuns() {
		switch {
		case w.clock() > w.lease:
			w.s.violated("the lease of %v on %s ended", r.task, w.info.ID)
			w.end(r, scheduler.EndLeaseExpired)
		case !r.doneAt.IsZero() && !w.s.now.Before(r.doneAt):
			w.end(r, scheduler.EndDone)
			w.s.done[r.task] = w.s.now
		}
	}
}

func (w *takeOverWorker) sortedRuns() []*takeOverRun {
	var runs []*takeOverRun
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *takeOverRun) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index))
	})
	return runs
}

func (w *takeOverWorker) end(r *takeOverRun, kind scheduler.EndKind) {
	delete(w.runs, r.task)
	w.lastEnd++
	w.ended[r.task] = max(w.ended[r.task], r.attempt)
	w.ends = append(w.ends, scheduler.EndReport{Number: w.lastEnd, Task: r.task, Attempt: r.attempt, Kind: kind})
}

func (w *takeOverWorker) start(o *scheduler.StartOrder) scheduler.OrderResult {
	if o.Token < w.token {
		return scheduler.Fenced
	}
	w.token = o.Token
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return scheduler.Accepted
	}
	if o.Attempt <= w.ended[o.Task] {
		return scheduler.Outdated
	}
	w.s.checkStart(w, o)
	r := &takeOverRun{task: o.Task, attempt: o.Attempt}
	if o.Task.Job[0] != longRunningPrefix {
		r.doneAt = w.s.now.Add(w.s.between(300, 600))
	}
	w.lease = max(w.lease, o.Deadline)
	w.runs[o.Task] = r
	return scheduler.Accepted
}

func (w *takeOverWorker) stop(o *scheduler.StopOrder) scheduler.OrderResult {
	if o.Token < w.token {
		return scheduler.Fenced
	}
	w.token = o.Token
	if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
		w.end(r, scheduler.EndStopped)
	}
	w.ended[o.Task] = max(w.ended[o.Task], o.Attempt)
	return scheduler.Accepted
}

func (w *takeOverWorker) poll(r *scheduler.PollRequest) (scheduler.PollReply, scheduler.OrderResult) {
	if r.Token < w.token {
		return scheduler.PollReply{}, scheduler.Fenced
	}
	w.token, w.lease = r.Token, max(w.lease, r.Deadline)
	for len(w.ends) > 0 && w.ends[0].Number <= r.AckedEnds {
		w.s.checkAcked(&w.ends[0])
		w.ends = w.ends[1:]
	}
	reply := scheduler.PollReply{Worker: w.info.ID, SentAt: w.s.now, ReceivedAt: w.s.now, AckedEnds: r.AckedEnds, Incarnation: 1, Clock: w.clock()}
	reply.Ends = slices.Clone(w.ends[:min(len(w.ends), 500)])
	reply.Partial = len(w.ends) >= 500
	for _, run := range w.sortedRuns() {
		reply.Running = append(reply.Running, scheduler.RunReport{Task: run.task, Attempt: run.attempt, Percent: 100})
	}
	return reply, scheduler.Accepted
}
