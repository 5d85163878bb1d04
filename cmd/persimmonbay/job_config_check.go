package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"persimmonbay/internal/configreview"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/platform"
)

func jobConfigCheckCommand() command {
	return command{name: "check", args: "FILE", summary: "find faults of a configuration before it is sent, and its differences from the one in force", setup: func(flags *flag.FlagSet) commandFunc {
		against := flags.String("against", "", "file with the configuration in force, to compare with")
		f := &operatorFlags{}
		flags.StringVar(&f.output, "output", "table", "output format: json or table")
		return func(_ context.Context, c console, args []string) error {
			if f.output != "json" && f.output != "table" {
				return &usageError{"-output: expected json or table, found " + f.output}
			}
			next, err := readJobConfig(args)
			if err != nil {
				return err
			}
			report := jobConfigReport{Findings: []configreview.Finding{}, Differences: []configreview.Difference{}}
			if *against != "" {
				inForce, err := readJobConfig([]string{*against})
				if err != nil {
					return err
				}
				report.Findings = append(report.Findings, configreview.Supersedes(inForce, next)...)
				report.Differences = append(report.Differences, configreview.Compare(inForce, next)...)
			}
			report.Findings = append(report.Findings, configreview.Review(next)...)
			return showJobConfigReport(c, f, report)
		}
	}}
}

// readJobConfig reads the one file that args names. It refuses what the entries refuse.
func readJobConfig(args []string) (*poolconfig.Configuration, error) {
	name, data, err := readDocument(args)
	if err != nil {
		return nil, err
	}
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return c, nil
}

// showJobConfigReport prints report and returns an error if one of its findings is one.
func showJobConfigReport(c console, f *operatorFlags, report jobConfigReport) error {
	var rows []string
	for _, found := range report.Findings {
		rows = append(rows, row(found.Severity, found.Place, found.Text))
	}
	for _, d := range report.Differences {
		rows = append(rows, row(d.Kind, d.Place, d.Text))
	}
	if err := f.show(c, report, row("KIND", "PLACE", "TEXT"), rows); err != nil {
		return err
	}
	if configreview.HasError(report.Findings) {
		return errors.New("the configuration has errors")
	}
	return nil
}
