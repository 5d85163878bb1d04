package upkeep

// Emptying tells how far a machine is emptied.
type Emptying uint8

// The stages.
const (
	NotRequested Emptying = iota
	Requested
	Emptied
)
