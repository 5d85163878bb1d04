package placement

import "persimmonbay/internal/fleet"

// Worker is a machine that runs tasks.
type Worker struct {
	ID               string
	AvailabilityZone string
	Rack             string
	Size             fleet.Resources
	Live             bool // the platform lists it as live
	Draining         bool // maintenance is taking it, or has taken it, out of service
}

// acceptsTasks reports whether w may get new tasks.
func (w *Worker) acceptsTasks() bool { return w.Live && !w.Draining }
