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
	return command{name: "job-entry", summary: "run one entry that serves jobs on the users' platform, until SIGINT or SIGTERM", setup: func(flags *flag.FlagSet) runner {
		file := flags.String("config", "", "settings of the entry, in YAML; by default the file that the platform names")
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

// watchSettings checks the settings again when told that they have changed. All
// of them hold for the life of a process, so a change holds from the next start.
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
				log.Error("changed settings are not valid", telemetry.ProblemFields(err)...)
				continue
			}
			log.Info("settings have changed; they hold from the next start")
		}
	}
}
