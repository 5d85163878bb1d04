package upkeep

// Emptying is the progress of emptying a machine, that is, of moving its tasks
// elsewhere.
type Emptying uint8

// The stages.
const (
	NotRequested Emptying = iota
	Requested
	Emptied
)
