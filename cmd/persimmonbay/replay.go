package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"persimmonbay/internal/replay"
	"persimmonbay/internal/trace"
)

// timePrecision is how exact times are shown in tables.
const timePrecision = 100 * time.Microsecond

func replayCommand() command {
	return command{name: "replay", summary: "replay a recorded trace and hold it against its stated outcomes", setup: func(flags *flag.FlagSet) runner {
		file := flags.String("trace", "", "file of the trace; its outcomes are in NAME.outcomes.yaml beside it")
		compare := flags.Bool("compare", false, "replay also the ways that were weighed, without judging them")
		shown := &operatorFlags{}
		flags.StringVar(&shown.output, "output", "table", "json or table")
		return func(_ context.Context, c console, args []string) error {
			if *file == "" || len(args) > 0 {
				return &usageError{"expected -trace FILE and nothing else"}
			}
			if shown.output != "json" && shown.output != "table" {
				return &usageError{"-output: expected json or table, found " + shown.output}
			}
			return runReplay(c, *file, *compare, shown)
		}
	}}
}

func runReplay(c console, file string, compare bool, shown *operatorFlags) error {
	recorded, err := trace.Load(file)
	if err != nil {
		return err
	}
	ways := []replay.Variant{replay.DeployedVariant}
	if compare {
		ways = replay.Variants
	}
	var reports []replay.Report
	for _, way := range ways {
		reports = append(reports, replay.Run(recorded, way))
	}
	if err := shown.show(c, reports, replayHeader, replayRows(reports)); err != nil {
		return err
	}
	if missed := reports[len(reports)-1].Missed; len(missed) > 0 {
		for _, m := range missed {
			fmt.Fprintln(c.err, "missed:", m)
		}
		return fmt.Errorf("%d stated outcomes missed", len(missed))
	}
	return nil
}

const replayHeader = "ORDER\tSLOTS\tSERVICE\tTEAM\tCLASS\tFLOOD\tOFFERED\tGOOD\tGOODPUT\tP99\tP99 FACTOR\tWAIT P50\tWAIT P99\tOWN SHARE\tMOST AT WORK\tREFUSED\tMSG/S\tBYTES/S"

func replayRows(reports []replay.Report) []string {
	var rows []string
	for i := range reports {
		r := &reports[i]
		for j := range r.Streams {
			s := &r.Streams[j]
			goodput, factor, share := fmt.Sprintf("%.3f", s.Goodput()), fmt.Sprintf("%.2f", s.P99Factor()), "-"
			if s.Flood {
				goodput, factor, share = "-", "-", fmt.Sprintf("%.2f", s.ShareOfOwn)
			}
			rows = append(rows, row(r.Order, r.Slots, s.Service, s.Team, s.Class, s.Flood, s.Offered, s.Good, goodput,
				s.P99.Round(timePrecision), factor, s.WaitingP50.Round(timePrecision), s.WaitingP99.Round(timePrecision), share,
				r.MostAtWork, r.UpstreamRefusals, fmt.Sprintf("%.1f", r.MessagesPerEntry), fmt.Sprintf("%.0f", r.BytesPerEntry)))
		}
	}
	return rows
}
