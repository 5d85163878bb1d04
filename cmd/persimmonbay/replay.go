package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"persimmonbay/internal/replay"
	"persimmonbay/internal/trace"
)

// timePrecision is the unit to which tables round times.
const timePrecision = 100 * time.Microsecond

func replayCommand() command {
	return command{name: "replay", summary: "replay a recorded trace and compare the result with its stated outcomes", setup: func(flags *flag.FlagSet) commandFunc {
		file := flags.String("trace", "", "trace file; the stated outcomes are in NAME.outcomes.yaml in the same directory")
		compare := flags.Bool("compare", false, "also replay the alternative variants, without checking their outcomes")
		f := &operatorFlags{}
		flags.StringVar(&f.output, "output", "table", "output format: json or table")
		return func(_ context.Context, c console, args []string) error {
			if *file == "" || len(args) > 0 {
				return &usageError{"expected -trace FILE and nothing else"}
			}
			if f.output != "json" && f.output != "table" {
				return &usageError{"-output: expected json or table, found " + f.output}
			}
			return runReplay(c, *file, *compare, f)
		}
	}}
}

// runReplay replays the trace and prints a report for each variant. It fails if
// the deployed variant, which is the last one, misses a stated outcome.
func runReplay(c console, file string, compare bool, f *operatorFlags) error {
	recorded, err := trace.Load(file)
	if err != nil {
		return err
	}
	variants := []replay.Variant{replay.DeployedVariant}
	if compare {
		variants = replay.Variants
	}
	var reports []replay.Report
	for _, variant := range variants {
		reports = append(reports, replay.Run(recorded, variant))
	}
	if err := f.show(c, reports, replayHeader, replayRows(reports)); err != nil {
		return err
	}
	if missed := reports[len(reports)-1].Missed; len(missed) > 0 {
		for _, m := range missed {
			fmt.Fprintln(c.err, "missed:", m)
		}
		return fmt.Errorf("replay missed %d stated outcomes", len(missed))
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
				goodput, factor, share = "-", "-", fmt.Sprintf("%.2f", s.ShareOfGuaranteed)
			}
			rows = append(rows, row(r.Order, r.Slots, s.Service, s.Team, s.Class, s.Flood, s.Offered, s.Good, goodput,
				s.P99.Round(timePrecision), factor, s.WaitingP50.Round(timePrecision), s.WaitingP99.Round(timePrecision), share,
				r.MaxInFlight, r.UpstreamRefusals, fmt.Sprintf("%.1f", r.MessagesPerEntry), fmt.Sprintf("%.0f", r.BytesPerEntry)))
		}
	}
	return rows
}
