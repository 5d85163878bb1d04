package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapMachine is a machine with its address and the worker that it runs.
type overlapMachine struct {
	name         string
	address      string
	incarnation  *overlapIncarnation // nil: it runs none
	incarnations int
	cut          time.Time // it reaches nobody before
}

func (m *overlapMachine) facts(id string, now time.Time) scheduler.WorkerInfo {
	f := worker(id)
	f.Address, f.Machine, f.Incarnation = m.address, m.name, now.UnixMilli()
	return f
}

// current returns the id of the worker that runs there.
func (m *overlapMachine) current() string {
	if m.incarnation == nil {
		return ""
	}
	return m.incarnation.facts.ID
}
