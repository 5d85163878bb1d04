package poolmanager

import (
	"context"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/upkeep"
)

// fakeMachines accepts and records every order, and lists the machines in listed.
type fakeMachines struct {
	listed  []upkeep.Machine
	moved   []string
	down    []string
	unknown bool // moves are refused, as of machines that do not exist
	mute    bool // orders get no response
}

var _ Machines = (*fakeMachines)(nil)

// List returns the machines.
func (f *fakeMachines) List(context.Context) ([]upkeep.Machine, error) { return f.listed, nil }

// Upkeep records the machine; tests order one at a time.
func (f *fakeMachines) Upkeep(_ context.Context, machine string, _ int64, _ MachineOrder) error {
	f.down = append(f.down, machine)
	if f.mute {
		return errNoResponse(machine)
	}
	return nil
}

// Move records the machine; tests order one at a time.
func (f *fakeMachines) Move(_ context.Context, machine, _ string, _ MachineOrder) error {
	f.moved = append(f.moved, machine)
	switch {
	case f.unknown:
		return problem.New(problem.NotFound, problem.StepReboot, machine, "no such machine")
	case f.mute:
		return errNoResponse(machine)
	}
	return nil
}

func errNoResponse(machine string) error {
	return problem.New(problem.Timeout, problem.StepReboot, machine, "no response")
}
