package poolmanager

import "context"

// panickingMachines panics at each order to move a machine.
type panickingMachines struct{ fakeMachines }

// Move panics.
func (*panickingMachines) Move(context.Context, string, string, MachineOrder) error {
	panic("a machine that nobody expects")
}
