package upkeep

// MachineState is the state of a machine as the platform lists it.
type MachineState uint8

// The states.
const (
	Up     MachineState = iota
	Moving              // to another pool
	InUpkeep
	Down
	Off // on standby
)
