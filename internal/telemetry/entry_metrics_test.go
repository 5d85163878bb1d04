package telemetry_test

import "persimmonbay/internal/telemetry"

// entryMetrics holds the variables of one entry.
type entryMetrics struct {
	Requests map[string]telemetry.Summary `json:"requests"`
}
