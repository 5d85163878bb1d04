package main

import (
	"context"
	"flag"

	"persimmonbay/internal/operator/message"
)

func statusCommand() command {
	return command{name: "status", summary: "show the entries of the fleet", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			status, err := f.status(ctx)
			if err != nil {
				return err
			}
			return f.show(c, status, row("ENTRY", "ZONE", "ALIVE", "LEAVING", "STORE", "VERSION"), statusRows(status))
		}
	}}
}

func (f *operatorFlags) status(ctx context.Context) (message.Status, error) {
	var status message.Status
	client, err := f.client()
	if err != nil {
		return status, err
	}
	return status, client.Get(ctx, "/v1/status", &status)
}

func statusRows(s message.Status) []string {
	var rows []string
	for _, e := range s.Entries {
		rows = append(rows, row(e.ID, e.AvailabilityZone, e.Alive, e.Leaving, e.StoreReachable, e.ConfigurationVersion))
	}
	return rows
}
