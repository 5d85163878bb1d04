package placement

import "persimmonbay/internal/fleet"

// Worker is a machine that runs tasks.
type Worker struct {
	ID               string
	AvailabilityZone string
	Rack             string
	Size             fleet.Resources
	Live             bool // the platform shows it live
	Draining         bool // maintenance takes it or has taken it out of service
}

// takes reports whether w may be given new tasks.
func (w *Worker) takes() bool { return w.Live && !w.Draining }
