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
	return command{name: "wave", summary: "start, inspect, pause, resume and cancel a maintenance wave", children: []command{
		waveStartCommand(),
		waveStatusCommand(),
		waveStateCommand("pause", "start on no more instances; instances in progress are finished"),
		waveStateCommand("resume", "continue a paused wave"),
		waveStateCommand("cancel", "end the wave; instances in progress are finished"),
	}}
}

func waveStartCommand() command {
	return command{name: "start", summary: "drain, reboot and return every instance once, within the availability budgets", setup: func(flags *flag.FlagSet) commandFunc {
		f := declareOperatorFlags(flags)
		var in message.WaveRequest
		flags.StringVar(&in.Operator, "as", currentUser(), "operator name that is recorded with the change")
		pools := flags.String("pools", "", "comma-separated names of the pools; empty: all")
		strategy := flags.String("strategy", string(maintenance.Spread), "order of the instances: spread, one, rack or zone")
		flags.IntVar(&in.MaxDown, "at-once", maintenance.DefaultMaxDown, "maximum number of instances down at a time")
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
	return command{name: action, summary: summary, setup: func(flags *flag.FlagSet) commandFunc {
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
	return f.show(c, w, row("WAVE", "STATE", "STRATEGY", "AT ONCE", "BY"), []string{row(w.ID, w.State, w.Strategy, w.MaxDown, w.By)})
}
