package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// call delivers a call to the worker at an address. execute runs there, and passes to
// send what the owner does on the answer. failed is called instead if the timeout
// passes without an answer or the connection fails. Faults delay or drop the call, or
// drop its answer.
func (s *overlapSim) call(address string, timeout time.Duration, execute func(inc *overlapIncarnation, send func(func())), failed func(scheduler.OrderResult)) {
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
		return
	}
	if s.now.Before(m.cutOffUntil) && s.chance(30) {
		s.after(s.between(5, 100), func() { answer(func() { failed(scheduler.NotReached) }) })
		return
	}
	arrive := func(send func(func())) {
		if inc.dead {
			return
		}
		s.advanceWorkers()
		execute(inc, send)
	}
	dropAnswer := func(func()) {}
	if !s.faults.NoLosses && s.chance(3) {
		if s.chance(60) {
			s.after(s.between(1, 8000), func() { arrive(dropAnswer) })
		}
		return
	}
	lost := !s.faults.NoLosses && s.chance(3)
	s.after(s.between(1, 60), func() {
		if s.now.Before(m.cutOffUntil) {
			return
		}
		arrive(func(do func()) {
			if lost || inc.dead || s.now.Before(m.cutOffUntil) {
				return
			}
			s.after(s.between(1, 60)+s.linkDelay(), func() { answer(do) })
		})
	})
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
