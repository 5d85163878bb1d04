package keeper

import (
	"context"

	"persimmonbay/internal/upkeep"
)

// fakeMachines accept every order.
type fakeMachines struct{ moved []string }

var _ Machines = (*fakeMachines)(nil)

func (*fakeMachines) List(context.Context) ([]upkeep.Machine, error) { return nil, nil }

func (*fakeMachines) Upkeep(context.Context, string, int64, MachineOrder) error { return nil }

// Move notes the machine; tests order one at a time.
func (f *fakeMachines) Move(_ context.Context, machine, _ string, _ MachineOrder) error {
	f.moved = append(f.moved, machine)
	return nil
}
