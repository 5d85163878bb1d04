package main

import (
	"context"
	"flag"
	"net/http"
	"strings"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator/message"
)

func waveCommand() command {
	return command{name: "wave", summary: "start, follow, pause, resume and cancel a maintenance wave", children: []command{
		waveStartCommand(),
		waveStatusCommand(),
		waveStateCommand("pause", "take no more instances; those under way are finished"),
		waveStateCommand("resume", "let a paused wave go on"),
		waveStateCommand("cancel", "end the wave; those under way are finished"),
	}}
}

func waveStartCommand() command {
	return command{name: "start", summary: "drain, reboot and return every instance once, within the availability budgets", setup: func(flags *flag.FlagSet) runner {
		f := declareOperatorFlags(flags)
		var in message.WaveRequest
		flags.StringVar(&in.Operator, "as", currentUser(), "name to record and to show to others")
		pools := flags.String("pools", "", "names of the pools, with commas; empty: all")
		strategy := flags.String("strategy", string(maintenance.Spread), "spread, one, rack or zone")
		flags.IntVar(&in.AtOnce, "at-once", maintenance.DefaultAtOnce, "most instances away at a time")
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			if *pools != "" {
				in.Pools = strings.Split(*pools, ",")
			}
			in.Strategy = maintenance.Strategy(*strategy)
			var wave maintenance.Wave
			if err := client.Send(ctx, http.MethodPost, "/v1/wave", in, &wave); err != nil {
				return err
			}
			return f.showWave(c, wave)
		}
	}}
}

func waveStateCommand(action, summary string) command {
	return command{name: action, summary: summary, setup: func(flags *flag.FlagSet) runner {
		f := declareOperatorFlags(flags)
		return func(ctx context.Context, c console, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			var wave maintenance.Wave
			if err := client.Send(ctx, http.MethodPost, "/v1/wave/"+action, struct{}{}, &wave); err != nil {
				return err
			}
			return f.showWave(c, wave)
		}
	}}
}

func (f *operatorFlags) showWave(c console, w maintenance.Wave) error {
	return f.show(c, w, row("WAVE", "STATE", "STRATEGY", "AT ONCE", "BY"), []string{row(w.ID, w.State, w.Strategy, w.AtOnce, w.By)})
}
