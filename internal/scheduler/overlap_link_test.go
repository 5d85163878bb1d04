package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// fillLink fills the owner's link for some seconds, and schedules the next time.
func (s *overlapSim) fillLink() {
	if s.noFaults {
		return
	}
	least := s.faults.ReplyDelay / 3
	s.replyDelay = least + time.Duration(s.random.Int63n(int64(s.faults.ReplyDelay-least)))
	full := s.between(1000, 9000)
	s.log("", scheduler.TaskID{}, "", "the owner's link is full for %v: answers take %v longer", full, s.replyDelay)
	s.after(full, func() { s.replyDelay = 0 })
	s.after(full+s.between(500, 3000), s.fillLink)
}

// linkDelay returns how much longer the next answer takes because the owner's link is full.
func (s *overlapSim) linkDelay() time.Duration {
	if s.replyDelay == 0 {
		return 0
	}
	return s.replyDelay - time.Duration(s.random.Int63n(int64(s.replyDelay/10)))
}

// dial opens a connection to a worker, unless the poller has one. It takes an answer's way
// over the owner's link, and fails if that takes longer than timeout.
func (s *overlapSim) dial(p *overlapPoller, timeout time.Duration, opened func(), failed func(scheduler.OrderResult)) {
	delay := time.Duration(0)
	if !p.connected {
		delay = s.linkDelay()
	}
	switch {
	case !p.connected && s.faults.RefusedDials > 0 && s.chance(s.faults.RefusedDials):
		s.after(s.between(1, 30), func() { failed(scheduler.NotReached) })
	case delay == 0:
		opened()
	case delay > timeout:
		s.after(timeout, func() { failed(scheduler.NotReached) })
	default:
		s.after(delay, opened)
	}
}

// noticedAfter is the time after which a listed end counts as acknowledged, if nothing
// is disturbed. The users' rules set it.
const noticedAfter = 100 * time.Millisecond

// endsListed records that a reply has listed the ends.
func (s *overlapSim) endsListed(inc *overlapIncarnation, reports []scheduler.EndReport) {
	if s.faults.NoLosses && len(reports) > 0 {
		s.after(noticedAfter, func() { s.endsArrived(inc, reports) })
	}
}

// pollPause returns how long a poller does not get its turn.
func (o *overlapOwner) pollPause() time.Duration {
	if o.s.faults.PollPause == 0 || o.s.noFaults || !o.s.chance(pollPausePercent) {
		return 0
	}
	return time.Duration(o.random.Int63n(int64(o.s.faults.PollPause)))
}

// pollPausePercent is the share of polls after which the poller does not get its turn.
const pollPausePercent = 20
