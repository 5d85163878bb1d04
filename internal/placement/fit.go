package placement

// Fit says which of the workers with room gets a job.
type Fit uint8

// The ways to choose a worker.
const (
	// KeepAccelerators is BestFit among the workers whose accelerators the job
	// does not need to leave idle: workers without, where the job needs none.
	KeepAccelerators Fit = iota
	// FirstFit is the first worker by ID.
	FirstFit
	// BestFit is the worker with the least room left afterwards.
	BestFit
)
