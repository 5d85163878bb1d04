package upkeep

// Snapshot is the input of Plan.
type Snapshot struct {
	Wave     Wave
	Machines map[string]Machine  // by ID, as the platform lists them
	Emptying map[string]Emptying // by machine
	Progress Progress
}
