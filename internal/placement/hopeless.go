package placement

// Hopeless is a job that is given up, with the reason.
type Hopeless struct {
	Job    string
	Reason string
}
