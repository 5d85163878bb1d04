package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// call delivers a call to the worker at an address. execute runs there, and passes to
// send what the owner does on the answer; sentTo is the incarnation that the call's
// connection led to. failed is called instead if the timeout passes without an answer or
// the connection fails. Faults delay or drop the call, or drop its answer. A call that gets
// no answer may be carried out seconds later, and then by the next incarnation with the
// same ID: call returns when; zero: this one is not.
func (s *overlapSim) call(address string, timeout time.Duration, execute func(sentTo, inc *overlapIncarnation, send func(func())), failed func(scheduler.OrderResult)) (carriedOutLate time.Time) {
	m := s.machineAt(address)
	inc := m.incarnation
	answered := false
	answer := func(do func()) {
		if !answered {
			answered = true
			do()
		}
	}
	s.after(timeout, func() { answer(func() { failed(scheduler.NoResponse) }) })
	if inc == nil {
		if s.chance(50) {
			s.after(s.between(1, 30), func() { answer(func() { failed(scheduler.NotReached) }) })
		}
		return time.Time{}
	}
	if s.now.Before(m.cutOffUntil) && s.chance(30) {
		s.after(s.between(5, 100), func() { answer(func() { failed(scheduler.NotReached) }) })
		return time.Time{}
	}
	if !s.faults.NoLosses && s.chance(3) {
		if s.chance(60) {
			late := s.between(1, latestCallMillis)
			s.after(late, func() { s.carryOutLate(inc, execute) })
			return s.now.Add(late)
		}
		return time.Time{}
	}
	lost := !s.faults.NoLosses && s.chance(3)
	s.after(s.between(1, 60), func() {
		if s.now.Before(m.cutOffUntil) || inc.dead {
			return
		}
		s.advanceWorkers()
		execute(inc, inc, func(do func()) {
			if lost || inc.dead || s.now.Before(m.cutOffUntil) {
				return
			}
			s.after(s.between(1, 60)+s.linkDelay(), func() { answer(do) })
		})
	})
	return time.Time{}
}

// latestCallMillis is how late a call without an answer is carried out at most.
const latestCallMillis = 8000

// carryOutLate has the worker with the ID of sentTo carry out a call that was sent to that
// incarnation, if one runs there. No answer is sent.
func (s *overlapSim) carryOutLate(sentTo *overlapIncarnation, execute func(sentTo, inc *overlapIncarnation, send func(func()))) {
	inc := sentTo.machine.incarnation
	if inc == nil || inc.info.ID != sentTo.info.ID {
		return
	}
	s.advanceWorkers()
	execute(sentTo, inc, func(func()) {})
}

func (s *overlapSim) machineAt(address string) *overlapMachine {
	for _, m := range s.machines {
		if m.address == address {
			return m
		}
	}
	panic("no machine at " + address)
}

// write sends a write to the store. commit runs there, and returns what the owner
// does on the answer, and whether the write was committed. lost is called instead if no
// answer arrives. Faults drop the write, its answer, or both, or delay the write.
func (s *overlapSim) write(o *overlapOwner, commit func() (answer func(), committed bool), lost func()) {
	releasing := o.ended
	unanswered := func() {
		s.after(storeTimeout, func() {
			if !o.ended || releasing {
				lost()
			}
		})
	}
	lossPercent := 5
	if s.faults.LateWrites {
		lossPercent = 15
	}
	switch {
	case o.storeUnreachable:
		unanswered()
		return
	case s.chance(lossPercent):
		unanswered()
		transit := s.between(1, 15)
		if s.faults.LateWrites && s.chance(50) {
			transit = s.between(1000, 6000)
		}
		if s.chance(70) {
			s.after(transit, func() { commit() })
		}
		return
	}
	s.after(s.between(1, 15), func() {
		answer, _ := commit()
		s.after(s.between(1, 15), func() {
			if !o.ended || releasing {
				answer()
			}
		})
	})
}
