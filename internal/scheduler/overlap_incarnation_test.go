package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapMaxRunLease is the longest lease that a worker grants, by its own clock, where it
// restarts unnoticed only with the faults named UnnoticedRestarts. With Recuts it grants
// timing.MaxRunLease, more than owners ask for.
const overlapMaxRunLease = 4500 * time.Millisecond

// overlapIncarnation is one incarnation of a worker, with the polls whose replies wait
// for an end.
type overlapIncarnation struct {
	*simWorker
	name         string // machine/id#number
	machine      *overlapMachine
	dead         bool
	maxRunLease  time.Duration
	recordedEnds int64 // ends up to this number are recorded
	waitingPolls []func()
}

// startedAtMillis returns the start of its process, Unix time in milliseconds.
func (inc *overlapIncarnation) startedAtMillis() int64 { return inc.incarnation.UnixMilli() }

// capDeadline shortens a deadline to the longest lease.
func (inc *overlapIncarnation) capDeadline(deadline int64, now time.Time) int64 {
	return min(deadline, inc.clock(now)+inc.maxRunLease.Milliseconds())
}

// pollReply returns the reply to a poll, as of now. It lists at most mostEnds ends; 0: all.
func (inc *overlapIncarnation) pollReply(r scheduler.PollRequest, sent, now time.Time, mostEnds int) scheduler.PollReply {
	reply := scheduler.PollReply{
		Worker: r.Worker, SentAt: sent, Wait: r.Wait, AckedEnds: r.AckedEnds, Token: r.Token, Incarnation: inc.startedAtMillis(), Clock: inc.clock(now),
		Ends: append([]scheduler.EndReport(nil), inc.ends...),
	}
	if mostEnds > 0 && len(reply.Ends) >= mostEnds {
		reply.Ends, reply.Partial = reply.Ends[:mostEnds], true
	}
	for id, run := range inc.running {
		reply.Running = append(reply.Running, scheduler.RunReport{Task: id, Attempt: run.attempt, Percent: 100})
	}
	return reply
}
