package work_test

import (
	"time"

	"persimmonbay/internal/work"
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
func (l *overlapIncarnation) rows(r work.PollRequest, sent, now time.Time) work.PollReply {
	look := work.PollReply{
		Worker: r.Worker, SentAt: sent, AckedEnds: r.AckedEnds, Incarnation: l.born.UnixMilli(), Clock: l.clock(now),
		Ends: append([]work.EndReport(nil), l.ends...),
	}
	for id, run := range l.running {
		look.Running = append(look.Running, work.RunReport{Task: id, Attempt: run.attempt, Percent: 100})
	}
	return look
}
