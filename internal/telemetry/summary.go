package telemetry

// Summary is a histogram as expvar shows it. Times are in microseconds.
type Summary struct {
	Count     int64 `json:"count"`
	P50Micros int64 `json:"p50Micros"`
	P90Micros int64 `json:"p90Micros"`
	P99Micros int64 `json:"p99Micros"`
	MaxMicros int64 `json:"maxMicros"`
}
