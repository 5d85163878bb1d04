package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// lossyWorker is a worker in lossyPool, and the state of its poller.
type lossyWorker struct {
	id      string
	token   int64 // the highest that it has seen
	running map[scheduler.TaskID]scheduler.StartOrder
	endsAt  map[scheduler.TaskID]time.Time
	ends    []scheduler.EndReport // not acknowledged
	ended   int64

	req    scheduler.PollRequest
	sentAt time.Time // of the poll in progress; zero: there is none
	lost   bool      // that poll gets no answer
	nextAt time.Time // of the next poll at the earliest
	retry  time.Duration
}

// advance ends the tasks whose time is over.
func (w *lossyWorker) advance(now time.Time) {
	for id, o := range w.running {
		if !now.Before(w.endsAt[id]) {
			w.ended++
			end := endReport(o, scheduler.EndDone)
			end.Number = w.ended
			w.ends = append(w.ends, end)
			delete(w.running, id)
		}
	}
}
