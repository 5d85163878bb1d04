package telemetry_test

// logLine holds the fields of a log line that the tests check.
type logLine struct {
	Message string `json:"msg"`
	Step    string `json:"step"`
	Peer    string `json:"peer"`
	Kind    string `json:"kind"`
}
