package configreview

// Severity tells how serious a finding is.
type Severity string

const (
	// Error is the severity of what cannot be meant: the configuration should not be sent.
	Error Severity = "error"
	// Warning is the severity of what can be meant, but seldom is.
	Warning Severity = "warning"
)
