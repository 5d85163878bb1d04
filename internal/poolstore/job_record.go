package poolstore

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// jobRecord is the stored form of a scheduler.Submission. Durations are in
// milliseconds, points in time in Unix milliseconds.
type jobRecord struct {
	Queue       string        `cbor:"1,keyasint"`
	Spec        string        `cbor:"2,keyasint,omitempty"`
	Steps       []stepRecord  `cbor:"3,keyasint"`
	StartAt     int64         `cbor:"4,keyasint,omitempty"`
	Repeat      int           `cbor:"5,keyasint,omitempty"`
	Interval    int64         `cbor:"6,keyasint,omitempty"`
	Priority    int           `cbor:"7,keyasint,omitempty"`
	MaxFailures int           `cbor:"8,keyasint,omitempty"`
	Stretch     float64       `cbor:"9,keyasint,omitempty"`
	Objective   int64         `cbor:"10,keyasint,omitempty"`
	AcceptedAt  int64         `cbor:"11,keyasint,omitempty"`
	Advice      *adviceRecord `cbor:"12,keyasint,omitempty"`
	Team        string        `cbor:"13,keyasint,omitempty"` // records of earlier versions have none
}

func newJobRecord(s *scheduler.Submission) jobRecord {
	r := jobRecord{
		Queue: s.Queue, Spec: s.Spec, StartAt: unixMillis(s.StartAt), Repeat: s.Repeat, Interval: s.Interval.Milliseconds(),
		Priority: s.Priority, MaxFailures: s.MaxFailures, Stretch: s.Stretch, Objective: s.Objective.Milliseconds(),
		AcceptedAt: unixMillis(s.AcceptedAt), Advice: newAdviceRecord(s.Advice), Team: s.Team,
	}
	for i := range s.Steps {
		r.Steps = append(r.Steps, newStepRecord(&s.Steps[i]))
	}
	return r
}

func (r *jobRecord) submission(service, id string) scheduler.Submission {
	s := scheduler.Submission{
		ID: id, Service: service, Queue: r.Queue, Spec: r.Spec, StartAt: fromUnixMillis(r.StartAt), Repeat: r.Repeat,
		Interval: millis(r.Interval), Priority: r.Priority, MaxFailures: r.MaxFailures, Stretch: r.Stretch,
		Objective: millis(r.Objective), AcceptedAt: fromUnixMillis(r.AcceptedAt), Advice: r.Advice.policy(), Team: r.Team,
	}
	for i := range r.Steps {
		s.Steps = append(s.Steps, r.Steps[i].step())
	}
	return s
}

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMillis(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}
