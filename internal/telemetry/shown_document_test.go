package telemetry_test

// shownDocument is what the tests read of the shown variables.
type shownDocument struct {
	Entry shownEntry `json:"entry"`
}
