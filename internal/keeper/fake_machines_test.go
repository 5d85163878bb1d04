package keeper

import (
	"context"

	"persimmonbay/internal/upkeep"
)

// fakeMachines accept every order.
type fakeMachines struct{}

var _ Machines = (*fakeMachines)(nil)

func (*fakeMachines) List(context.Context) ([]upkeep.Machine, error) { return nil, nil }

func (*fakeMachines) Upkeep(context.Context, string, int64, MachineOrder) error { return nil }

func (*fakeMachines) Move(context.Context, string, string, MachineOrder) error { return nil }
