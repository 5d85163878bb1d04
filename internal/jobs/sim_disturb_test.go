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

// disturb lets something happen that the controller has not planned for.
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

// drawJob returns a job of a drawn size, which must not be repeated with odds
// of two in three.
func (w *simWorld) drawJob(id string, class fleet.Class) placement.Job {
	runs := time.Duration(w.random.IntN(20)) * time.Second
	j := newJob(id, []string{"t", "u"}[w.random.IntN(2)], class, cores(1+w.random.IntN(6)), runs)
	j.Repeatable = w.random.IntN(3) == 0
	return j
}

// cancelOne cancels a drawn job that has not ended.
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

// restart ends a worker with its tasks, and starts it anew at another address.
func (w *simWorld) restart(i int) {
	id := w.workers[i].ID
	w.gone = append(w.gone, w.runners[id])
	w.runners[id] = worker.NewRunner(w.clock)
	w.restarts++
	w.list.Put(fleet.Instance{ID: id, Kind: fleet.KindWorker, State: fleet.Live, Resources: w.workers[i].Size, Address: fmt.Sprint(w.restarts)})
}

// noteCancelled notes how often each cancelled job had started when it was
// first seen cancelled.
func (w *simWorld) noteCancelled() {
	for _, j := range w.holder.controller.View.Jobs() {
		if _, noted := w.startsWhenCancelled[j.ID]; j.Phase == placement.Cancelled && !noted {
			w.startsWhenCancelled[j.ID] = w.starts(j.ID)
		}
	}
}
