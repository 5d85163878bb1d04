package telemetry

// Summary is a histogram as it is published: the number of recorded durations,
// percentiles and the maximum, in microseconds.
type Summary struct {
	Count     int64 `json:"count"`
	P50Micros int64 `json:"p50Micros"`
	P90Micros int64 `json:"p90Micros"`
	P99Micros int64 `json:"p99Micros"`
	MaxMicros int64 `json:"maxMicros"`
}
