package upkeep

// Snapshot is all that the next steps of a wave depend on.
type Snapshot struct {
	Wave     Wave
	Machines map[string]Machine // that the platform lists
	Emptying map[string]Emptying
	Progress Progress
}
