package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapMachine is a machine, which runs one worker at a time.
type overlapMachine struct {
	name         string
	address      string
	incarnation  *overlapIncarnation // nil: it runs none
	incarnations int                 // number of workers that have started there
	cutOffUntil  time.Time           // nothing reaches it before
}

// info returns the platform's entry of a worker that starts there at now.
func (m *overlapMachine) info(id string, now time.Time) scheduler.WorkerInfo {
	info := worker(id)
	info.Address, info.Machine, info.Incarnation = m.address, m.name, now.UnixMilli()
	return info
}

// workerID returns the ID of the worker that runs there, or an empty string.
func (m *overlapMachine) workerID() string {
	if m.incarnation == nil {
		return ""
	}
	return m.incarnation.info.ID
}
