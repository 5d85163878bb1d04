package telemetry_test

// metricsDocument is the part of the served metrics that the tests check.
type metricsDocument struct {
	Entry entryMetrics `json:"entry"`
}
