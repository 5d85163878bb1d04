package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator"
)

// followInterval is the time between two reports of a followed wave.
const followInterval = 2 * time.Second

func waveStatusCommand() command {
	return command{name: "status", summary: "show the progress of the latest wave and what it waits for", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		follow := flags.Bool("follow", false, "repeat until the wave has ended")
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			for {
				p, err := f.showProgress(ctx, client, c)
				if err != nil || !*follow || !p.Wave.Open() {
					return err
				}
				select {
				case <-time.After(followInterval):
				case <-ctx.Done():
					return nil
				}
			}
		}
	}}
}

// showProgress reads the progress of the latest wave, prints it and returns it.
func (f *operatorFlags) showProgress(ctx context.Context, client *operator.Client, c console) (maintenance.Progress, error) {
	var p maintenance.Progress
	if err := client.Get(ctx, "/v1/wave", &p); err != nil {
		return p, err
	}
	if f.output == "json" {
		return p, f.show(c, p, "", nil)
	}
	if p.Wave.ID == "" {
		_, err := fmt.Fprintln(c.out, "no wave has been started; 'wave start' starts one")
		return p, err
	}
	header := row("WAVE", "STATE", "DONE", "OF", "AWAY", "LOST", "MISSING")
	if err := f.show(c, p, header, []string{row(p.Wave.ID, p.Wave.State, p.Done, p.Total, p.Away, len(p.Lost), len(p.Missing))}); err != nil {
		return p, err
	}
	for _, b := range p.Blockers {
		fmt.Fprintf(c.out, "waits: %s\n", blockerText(b))
	}
	for _, id := range p.Lost {
		fmt.Fprintf(c.out, "lost: %s did not come back from its reboot\n", id)
	}
	return p, nil
}

func blockerText(b maintenance.Blocker) string {
	if b.Pool == "" {
		return b.Reason
	}
	return "pool " + b.Pool + ": " + b.Reason
}
