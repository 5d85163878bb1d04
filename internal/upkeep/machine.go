package upkeep

import "persimmonbay/internal/scheduler"

// Machine is a machine as the platform lists it.
type Machine struct {
	ID     string
	Pool   string
	State  MachineState
	Zone   string
	Labels []string
	Worker string // ID of the worker that runs on it; empty: none

	Capacity scheduler.Resources // of its worker
}
