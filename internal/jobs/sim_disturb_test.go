package jobs_test

import (
	"context"
	"fmt"
	"sort"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/jobs"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/standin/worker"
)

// disturb makes one random change: a submission, a cancellation, a restart of a
// worker, or the start or end of a drain.
func (w *simWorld) disturb() {
	switch w.random.IntN(5) {
	case 0, 1:
		w.submitted++
		w.submit(w.drawJob(fmt.Sprintf("late-%02d", w.submitted), fleet.Urgent))
	case 2:
		w.cancelOne()
	case 3:
		w.restart(w.random.IntN(len(w.workers)))
	case 4:
		w.workers[w.random.IntN(len(w.workers))].Draining = w.random.IntN(2) == 0
	}
}

// drawJob returns a job with a random team, size and run time. With a probability
// of two thirds it is not repeatable.
func (w *simWorld) drawJob(id string, class fleet.Class) placement.Job {
	runs := time.Duration(w.random.IntN(20)) * time.Second
	j := newJob(id, []string{"t", "u"}[w.random.IntN(2)], class, cores(1+w.random.IntN(6)), runs)
	j.Repeatable = w.random.IntN(3) == 0
	return j
}

// cancelOne cancels a random job that has not ended.
func (w *simWorld) cancelOne() {
	var open []string
	for id, j := range w.jobsNow() {
		if !j.Phase.Ended() {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	sort.Strings(open)
	selection := jobs.Selection{IDs: open[w.random.IntN(len(open)):][:1]}
	_, err := jobs.Cancel(context.Background(), jobstore.New(w.store), selection, "amal", w.clock.Now())
	w.must(err)
}

// restart ends a worker and its tasks, and starts it again at another address.
func (w *simWorld) restart(i int) {
	id := w.workers[i].ID
	w.replacedRunners = append(w.replacedRunners, w.runners[id])
	w.runners[id] = worker.NewRunner(w.clock)
	w.restarts++
	w.list.Put(fleet.Instance{ID: id, Kind: fleet.KindWorker, State: fleet.Live, Resources: w.workers[i].Size, Address: fmt.Sprint(w.restarts)})
}

// recordCancelled records for each cancelled job how often it had started when
// the view first had it as cancelled.
func (w *simWorld) recordCancelled() {
	for _, j := range w.holder.controller.View.Jobs() {
		if _, noted := w.startsWhenCancelled[j.ID]; j.Phase == placement.Cancelled && !noted {
			w.startsWhenCancelled[j.ID] = w.starts(j.ID)
		}
	}
}
