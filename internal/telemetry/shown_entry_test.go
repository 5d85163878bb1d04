package telemetry_test

import "persimmonbay/internal/telemetry"

// shownEntry is one entry's part of the shown variables.
type shownEntry struct {
	Requests map[string]telemetry.Summary `json:"requests"`
}
