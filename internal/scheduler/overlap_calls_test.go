package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// call carries an order to the worker at an address. carry runs there, and
// sends what the owner is to hear; refused tells the owner that no answer came.
func (s *overlapSim) call(address string, timeout time.Duration, carry func(l *overlapIncarnation, send func(func())), refused func(scheduler.OrderResult)) {
	m := s.machineAt(address)
	l := m.incarnation
	over := false
	answer := func(do func()) {
		if !over {
			over = true
			do()
		}
	}
	s.after(timeout, func() { answer(func() { refused(scheduler.Unanswered) }) })
	if l == nil {
		if s.chance(50) {
			s.after(s.between(1, 30), func() { answer(func() { refused(scheduler.NotReached) }) })
		}
		return
	}
	if s.now.Before(m.cut) && s.chance(30) {
		s.after(s.between(5, 100), func() { answer(func() { refused(scheduler.NotReached) }) })
		return
	}
	arrive := func(send func(func())) {
		if l.dead {
			return
		}
		s.pass()
		carry(l, send)
	}
	silent := func(func()) {}
	if s.chance(3) {
		if s.chance(60) {
			s.after(s.between(1, 8000), func() { arrive(silent) })
		}
		return
	}
	lost := s.chance(3)
	s.after(s.between(1, 60), func() {
		if s.now.Before(m.cut) {
			return
		}
		arrive(func(do func()) {
			if lost || l.dead || s.now.Before(m.cut) {
				return
			}
			s.after(s.between(1, 60), func() { answer(do) })
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

// write carries a write to the store. commit runs there and returns what the
// owner is to hear, and whether the write held; lost tells that no answer came.
func (s *overlapSim) write(o *overlapOwner, commit func() (answer func(), held bool), lost func()) {
	releasing := o.over
	unanswered := func() {
		s.after(storeTime, func() {
			if !o.over || releasing {
				lost()
			}
		})
	}
	share := 5
	if s.knobs.LateWrites {
		share = 15
	}
	switch {
	case o.deaf:
		unanswered()
		return
	case s.chance(share):
		unanswered()
		way := s.between(1, 15)
		if s.knobs.LateWrites && s.chance(50) {
			way = s.between(1000, 6000)
		}
		if s.chance(70) {
			s.after(way, func() { commit() })
		}
		return
	}
	s.after(s.between(1, 15), func() {
		answer, _ := commit()
		s.after(s.between(1, 15), func() {
			if !o.over || releasing {
				answer()
			}
		})
	})
}
