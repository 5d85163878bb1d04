package wire

import (
	"math"
	"time"

	"persimmonbay/internal/door"
)

// FromPoolReport returns the message of a report that is sent at now.
func FromPoolReport(r *door.Report, now time.Time) *PoolReport {
	m := &PoolReport{AgeUs: max(now.Sub(r.At), 0).Microseconds(), Cores: r.Cores, Within: r.Within}
	for _, s := range r.Spent {
		m.Spent = append(m.Spent, &SpentTeam{Team: s.Team, ForUs: s.For.Microseconds()})
	}
	for _, p := range r.Paces {
		m.Paces = append(m.Paces, &QueuePace{Queue: p.Queue, StepUs: p.Step.Microseconds()})
	}
	return m
}

// ToPoolReport returns the report of an answer to a request that was sent at sentAt, or nil
// if there is none or it holds amounts that no owner sends. The report counts as older than
// it is by the time that the request took.
func ToPoolReport(m *PoolReport, sentAt time.Time) *door.Report {
	valid := func(amount float64) bool { return amount >= 0 && !math.IsInf(amount, 0) }
	if m == nil || m.GetAgeUs() < 0 || !valid(m.GetCores()) || !valid(m.GetWithin()) {
		return nil
	}
	r := &door.Report{At: sentAt.Add(-micros(m.GetAgeUs())), Cores: m.GetCores(), Within: m.GetWithin()}
	for _, s := range m.GetSpent() {
		r.Spent = append(r.Spent, door.Spent{Team: s.GetTeam(), For: micros(s.GetForUs())})
	}
	for _, p := range m.GetPaces() {
		r.Paces = append(r.Paces, door.Pace{Queue: p.GetQueue(), Step: micros(p.GetStepUs())})
	}
	return r
}

// micros returns n microseconds, from 0 up to an hour.
func micros(n int64) time.Duration {
	return time.Duration(min(max(n, 0), time.Hour.Microseconds())) * time.Microsecond
}
