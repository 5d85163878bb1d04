package poolmanager

import (
	"context"

	"persimmonbay/internal/upkeep"
)

// Machines reads and orders the platform's machines.
type Machines interface {
	List(ctx context.Context) ([]upkeep.Machine, error)
	// Upkeep takes the machine down for the wave at once.
	Upkeep(ctx context.Context, machine string, wave int64, order MachineOrder) error
	// Move puts the machine into another pool at once.
	Move(ctx context.Context, machine, pool string, order MachineOrder) error
}
