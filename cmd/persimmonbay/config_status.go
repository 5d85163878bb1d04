package main

import (
	"context"
	"flag"
)

func configStatusCommand() command {
	return command{name: "status", summary: "show the configuration version in force on each entry", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			status, err := f.status(ctx)
			if err != nil {
				return err
			}
			var rows []string
			for _, e := range status.Entries {
				rows = append(rows, row(e.ID, e.ConfigurationVersion, e.Alive, e.LastHeartbeat.Format("15:04:05")))
			}
			return f.show(c, status.Entries, row("ENTRY", "VERSION", "ALIVE", "HEARD"), rows)
		}
	}}
}
