package trace_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/trace"
)

// Upper bounds of the values that a replay accepts.
const (
	maxEntries = 1000
	maxRate    = 1e6 // requests a second
)

// unbounded is a trace whose rate is so high that a replay would not end.
const unbounded = "name: a\nanswers: b\nentries: 1\nduration: 1s\nstreams:\n  - {service: s, team: t, work: 1ms, timeout: 1s, segments: [{from: 0s, to: 1s, rate: 1000000000000}]}"

// FuzzParse checks that a trace is refused with findings, or that its values are
// within the bounds that a replay relies on.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("../../traces/*.yaml")
	if err != nil || len(files) == 0 {
		f.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, text := range []string{"", "streams: &a [*a]", "entries: -1", "streams:\n  - {segments: [{from: 2s, to: 1s, rate: .nan}]}", unbounded} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := trace.Parse("trace.yaml", data)
		if err != nil {
			requireFindings(t, err)
			return
		}
		requireBounds(t, parsed)
	})
}

func requireFindings(t *testing.T, err error) {
	var findings problem.Findings
	if !errors.As(err, &findings) || len(findings) == 0 || findings[0].Line < 1 {
		t.Fatalf("error is not a list of findings with lines: %v", err)
	}
}

func requireBounds(t *testing.T, parsed *trace.Trace) {
	if parsed.Entries < 1 || parsed.Entries > maxEntries || parsed.Duration <= 0 || len(parsed.Streams) == 0 {
		t.Fatalf("trace with values out of bounds accepted: %+v", parsed)
	}
	for _, s := range parsed.Streams {
		for _, part := range s.Segments {
			if !(part.Rate > 0) || part.Rate > maxRate || part.From < 0 || part.To <= part.From {
				t.Fatalf("segment with values out of bounds accepted: %+v", part)
			}
		}
	}
}
