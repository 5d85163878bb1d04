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
	log, level, err := telemetry.NewLeveledLogger(c.err, s.LogLevel)
	if err != nil {
		return err
	}
	e, err := jobentry.New(s, clockwork.NewRealClock(), log)
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watching, file, level, log)
	return e.Run(ctx)
}

// watchSettings reads the settings file on each SIGHUP, until ctx ends. It applies the
// log level at once. All else takes effect at the next start: a process keeps its
// addresses, connections and pools. A file that is not valid changes nothing.
func watchSettings(ctx context.Context, file string, level zap.AtomicLevel, log *zap.Logger) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			loaded, err := settings.LoadJobEntry(file)
			if err == nil {
				err = level.UnmarshalText([]byte(loaded.LogLevel))
			}
			if err != nil {
				log.Error("changed settings file is not valid, nothing is changed", telemetry.ProblemFields(err)...)
				continue
			}
			log.Info("settings file read again: the log level is in force, all else takes effect at the next start", zap.String("logLevel", loaded.LogLevel))
		}
	}
}
