package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator"
)

// followEvery is the time between two lines of a followed wave.
const followEvery = 2 * time.Second

func waveStatusCommand() command {
	return command{name: "status", summary: "show how far the latest wave is and, when it stands still, why", setup: func(flags *flag.FlagSet) runner {
		f := declareOperatorFlags(flags)
		follow := flags.Bool("follow", false, "show it again and again until the wave has ended")
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
				case <-time.After(followEvery):
				case <-ctx.Done():
					return nil
				}
			}
		}
	}}
}

func (f *operatorFlags) showProgress(ctx context.Context, client *operator.Client, c console) (maintenance.Progress, error) {
	var p maintenance.Progress
	if err := client.Get(ctx, "/v1/wave", &p); err != nil {
		return p, err
	}
	if f.output == "json" {
		return p, f.show(c, p, "", nil)
	}
	if p.Wave.ID == "" {
		_, err := fmt.Fprintln(c.out, "there has been no wave; 'wave start' starts one")
		return p, err
	}
	header := row("WAVE", "STATE", "DONE", "OF", "AWAY", "LOST", "MISSING")
	if err := f.show(c, p, header, []string{row(p.Wave.ID, p.Wave.State, p.Done, p.Total, p.Away, len(p.Lost), len(p.Missing))}); err != nil {
		return p, err
	}
	for _, h := range p.Blockers {
		fmt.Fprintf(c.out, "waits: %s\n", holdText(h))
	}
	for _, id := range p.Lost {
		fmt.Fprintf(c.out, "lost: %s did not come back from its reboot\n", id)
	}
	return p, nil
}

func holdText(h maintenance.Blocker) string {
	if h.Pool == "" {
		return h.Reason
	}
	return "pool " + h.Pool + ": " + h.Reason
}
