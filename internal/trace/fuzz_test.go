package trace_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/trace"
)

// What a replay takes at most.
const (
	mostEntries = 1000
	mostRate    = 1e6 // requests a second
)

// unbounded is a trace that no replay would come to the end of.
const unbounded = "name: a\nanswers: b\nentries: 1\nduration: 1s\nstreams:\n  - {service: s, team: t, work: 1ms, timeout: 1s, segments: [{from: 0s, to: 1s, rate: 1000000000000}]}"

// FuzzParse demands that a trace is refused with findings or keeps to the
// bounds that a replay relies on.
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
			demandFindings(t, err)
			return
		}
		demandBounds(t, parsed)
	})
}

func demandFindings(t *testing.T, err error) {
	var findings problem.Findings
	if !errors.As(err, &findings) || len(findings) == 0 || findings[0].Line < 1 {
		t.Fatalf("no findings with a line: %v", err)
	}
}

func demandBounds(t *testing.T, parsed *trace.Trace) {
	if parsed.Entries < 1 || parsed.Entries > mostEntries || parsed.Duration <= 0 || len(parsed.Streams) == 0 {
		t.Fatalf("unusable trace accepted: %+v", parsed)
	}
	for _, s := range parsed.Streams {
		for _, part := range s.Segments {
			if !(part.Rate > 0) || part.Rate > mostRate || part.From < 0 || part.To <= part.From {
				t.Fatalf("unusable segment accepted: %+v", part)
			}
		}
	}
}
