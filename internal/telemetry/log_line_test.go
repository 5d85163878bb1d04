package telemetry_test

// logLine is what the tests read of a log line.
type logLine struct {
	Message string `json:"msg"`
	Step    string `json:"step"`
	Peer    string `json:"peer"`
	Kind    string `json:"kind"`
}
