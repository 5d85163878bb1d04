package work_test

import (
	"time"

	"persimmonbay/internal/work"
)

// overlapMaxHold is the longest lease that a worker grants.
const overlapMaxHold = 4500 * time.Millisecond

// overlapLife is one incarnation of a worker, with the looks that wait for an end.
type overlapLife struct {
	*simWorker
	name    string // machine/id#number
	machine *overlapMachine
	dead    bool
	seen    int64 // ends up to this number are recorded
	waiting []func()
}

// capped shortens a deadline to the longest lease.
func (l *overlapLife) capped(deadline int64, now time.Time) int64 {
	return min(deadline, l.clock(now)+overlapMaxHold.Milliseconds())
}

// rows answers a look with what is there.
func (l *overlapLife) rows(r work.LookRequest, sent, now time.Time) work.Look {
	look := work.Look{
		Worker: r.Worker, SentAt: sent, Observed: r.Observed, Incarnation: l.born.UnixMilli(), Clock: l.clock(now),
		Ends: append([]work.EndRow(nil), l.ends...),
	}
	for id, run := range l.running {
		look.Running = append(look.Running, work.RunRow{Task: id, Attempt: run.attempt, Percent: 100})
	}
	return look
}
