package poolmanager

import (
	"context"

	"persimmonbay/internal/upkeep"
)

// Machines lists the platform's machines and sends it orders for them. An order that is
// not permitted any more when it would be sent is Unavailable.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]upkeep.Machine, error)
	// Upkeep takes the machine down at once, for its upkeep in the wave. It returns a
	// conflict if the machine cannot be taken down yet, and not found for an unknown
	// machine.
	Upkeep(ctx context.Context, machine string, wave int64, order MachineOrder) error
	// Move moves the machine into the pool at once. It returns not found for an
	// unknown machine.
	Move(ctx context.Context, machine, pool string, order MachineOrder) error
}
