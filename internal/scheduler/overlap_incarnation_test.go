package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapMaxHold is the longest lease that a worker grants.
const overlapMaxHold = 4500 * time.Millisecond

// overlapIncarnation is one incarnation of a worker, with the polls that wait for an end.
type overlapIncarnation struct {
	*simWorker
	name    string // machine/id#number
	machine *overlapMachine
	dead    bool
	seen    int64 // ends up to this number are recorded
	waiting []func()
}

// capped shortens a deadline to the longest lease.
func (l *overlapIncarnation) capped(deadline int64, now time.Time) int64 {
	return min(deadline, l.clock(now)+overlapMaxHold.Milliseconds())
}

// rows answers a poll with what is there.
func (l *overlapIncarnation) rows(r scheduler.PollRequest, sent, now time.Time) scheduler.PollReply {
	look := scheduler.PollReply{
		Worker: r.Worker, SentAt: sent, AckedEnds: r.AckedEnds, Incarnation: l.incarnation.UnixMilli(), Clock: l.clock(now),
		Ends: append([]scheduler.EndReport(nil), l.ends...),
	}
	for id, run := range l.running {
		look.Running = append(look.Running, scheduler.RunReport{Task: id, Attempt: run.attempt, Percent: 100})
	}
	return look
}
