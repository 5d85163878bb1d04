package placement

// GivenUp is a job that is given up, with the reason.
type GivenUp struct {
	Job    string
	Reason string
}
