package main

import (
	"context"
	"flag"

	"persimmonbay/internal/operator/message"
)

func instanceCommand() command {
	return command{name: "instance", summary: "list, show, move, drain and undrain instances", children: []command{
		instanceListCommand(),
		instanceShowCommand(),
		instanceCreateCommand(),
		instanceMoveCommand(),
		instanceChangeCommand("drain", "place no more work on the instance until it is undrained"),
		instanceChangeCommand("undrain", "place work on a drained instance again"),
	}}
}

func instanceListCommand() command {
	return command{name: "list", summary: "list the instances and their pools", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			instances, err := f.instances(ctx)
			if err != nil {
				return err
			}
			return f.showInstances(c, instances, instances)
		}
	}}
}

func (f *operatorFlags) instances(ctx context.Context) ([]message.InstanceStatus, error) {
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	var instances []message.InstanceStatus
	return instances, client.Get(ctx, "/v1/instances", &instances)
}

// showInstances prints value as JSON, or the instances as a table.
func (f *operatorFlags) showInstances(c console, value any, instances []message.InstanceStatus) error {
	var rows []string
	for _, i := range instances {
		rows = append(rows, row(i.ID, i.Pool, i.Phase, i.State, i.ReservedFor, i.ReservedBy, i.Target, i.AvailabilityZone, i.Rack, i.Address))
	}
	return f.show(c, value, row("INSTANCE", "POOL", "PHASE", "STATE", "RESERVED", "BY", "TARGET", "ZONE", "RACK", "ADDRESS"), rows)
}
