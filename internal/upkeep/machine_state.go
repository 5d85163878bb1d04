package upkeep

// MachineState is the platform's word on a machine.
type MachineState uint8

// The states.
const (
	Up MachineState = iota
	Moving
	InUpkeep
	Down
	Off // on standby
)
