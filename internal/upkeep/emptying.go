package upkeep

// Emptying tells how far a machine is emptied.
type Emptying uint8

// The stages.
const (
	NotAsked Emptying = iota
	Asked
	Emptied
)
