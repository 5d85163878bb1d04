package settings_test

import (
	"errors"
	"testing"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/settings"
)

// FuzzSettings checks that a document is parsed, or refused with findings that
// have a line.
func FuzzSettings(f *testing.F) {
	for _, text := range []string{good, "", "id: [", "id: &a *a", "platform: 3", "membership: {leaseTTL: 1ns}", "limits: {bodyBytes: 99999999999999999999}"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.ParseEntry("entry.yaml", data)
		if err == nil {
			return
		}
		var findings problem.Findings
		if !errors.As(err, &findings) || len(findings) == 0 || findings[0].Line < 1 {
			t.Fatalf("error is not a list of findings with lines: %v", err)
		}
	})
}
