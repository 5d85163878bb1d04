// Command persimmonbay manages the capacity and maintenance of a shared fleet:
// it holds the entry daemon, stand-ins for tests, and the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, commands(), os.Args[1:], console{out: os.Stdout, err: os.Stderr}))
}

// commands returns the tree of commands.
func commands() []command {
	return []command{
		devCommand(),
		entryCommand(),
		jobEntryCommand(),
		standinCommand(),
		configCommand(),
		poolCommand(),
		instanceCommand(),
		jobCommand(),
		jobConfigCommand(),
		replayCommand(),
		requestCommand(),
		serviceCommand(),
		teamCommand(),
		waveCommand(),
		statusCommand(),
		versionCommand(),
	}
}
