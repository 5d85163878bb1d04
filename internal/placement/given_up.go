package placement

// GivenUp is the ID of a job that is to fail without another attempt, and the
// reason.
type GivenUp struct {
	Job    string
	Reason string
}
