package main

import (
	"context"
	"flag"

	"persimmonbay/internal/fleet"
)

func instanceCommand() command {
	return command{name: "instance", summary: "list instances", children: []command{instanceListCommand()}}
}

func instanceListCommand() command {
	return command{name: "list", summary: "list the instances as the platform shows them", setup: func(flags *flag.FlagSet) runner {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			var instances []fleet.Instance
			if err := client.Get(ctx, "/v1/instances", &instances); err != nil {
				return err
			}
			return f.show(c, instances, row("INSTANCE", "KIND", "SERVICE", "ADDRESS", "ZONE", "RACK", "STATE"), instanceRows(instances))
		}
	}}
}

func instanceRows(instances []fleet.Instance) []string {
	var rows []string
	for _, i := range instances {
		rows = append(rows, row(i.ID, i.Kind, i.Service, i.Address, i.AvailabilityZone, i.Rack, i.State))
	}
	return rows
}
