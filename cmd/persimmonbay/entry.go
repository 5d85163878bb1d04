package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/entry"
	"persimmonbay/internal/settings"
	"persimmonbay/internal/telemetry"
)

func entryCommand() command {
	return command{name: "entry", summary: "run an entry until SIGINT or SIGTERM", setup: func(flags *flag.FlagSet) commandFunc {
		file := flags.String("config", "", "YAML file with the settings of the entry")
		return func(ctx context.Context, c console, _ []string) error {
			if *file == "" {
				return &usageError{"expected -config FILE"}
			}
			loaded, err := settings.LoadEntry(*file)
			if err != nil {
				return err
			}
			return runEntry(ctx, c, loaded)
		}
	}}
}

func runEntry(ctx context.Context, c console, s settings.Entry) error {
	log, err := telemetry.NewLogger(c.err, s.LogLevel)
	if err != nil {
		return err
	}
	e, err := entry.New(s, clockwork.NewRealClock(), log)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
