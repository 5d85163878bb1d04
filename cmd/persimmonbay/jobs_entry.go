package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/jobentry"
	"persimmonbay/internal/settings"
	"persimmonbay/internal/telemetry"
	"persimmonbay/platform"
)

func jobEntryCommand() command {
	return command{name: "job-entry", summary: "run an entry that serves jobs on the users' platform until SIGINT or SIGTERM", setup: func(flags *flag.FlagSet) commandFunc {
		file := flags.String("config", "", "YAML file with the settings of the entry; default: the file named by the platform")
		return func(ctx context.Context, c console, _ []string) error {
			name := *file
			if name == "" {
				name = platform.SettingsFile()
			}
			if name == "" {
				return &usageError{"expected -config FILE"}
			}
			loaded, err := settings.LoadJobEntry(name)
			if err != nil {
				return err
			}
			return runJobEntry(ctx, c, name, loaded)
		}
	}}
}

func runJobEntry(ctx context.Context, c console, file string, s settings.JobEntry) error {
	log, err := telemetry.NewLogger(c.err, s.LogLevel)
	if err != nil {
		return err
	}
	e, err := jobentry.New(s, clockwork.NewRealClock(), log)
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watching, file, log)
	return e.Run(ctx)
}

// watchSettings validates the settings file on each SIGHUP and logs the result,
// until ctx ends. The running process keeps its settings: a change takes effect at
// the next start.
func watchSettings(ctx context.Context, file string, log *zap.Logger) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if _, err := settings.LoadJobEntry(file); err != nil {
				log.Error("changed settings file is not valid", telemetry.ProblemFields(err)...)
				continue
			}
			log.Info("settings file has changed; the change takes effect at the next start")
		}
	}
}
