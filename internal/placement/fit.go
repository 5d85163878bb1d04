package placement

// Fit selects one of the workers that a job fits.
type Fit uint8

// The ways to choose a worker.
const (
	// KeepAccelerators is BestFit, but prefers workers without free accelerators
	// for a job that needs none.
	KeepAccelerators Fit = iota
	// FirstFit selects the first worker by ID.
	FirstFit
	// BestFit selects the worker with the least free capacity left afterwards.
	BestFit
)
