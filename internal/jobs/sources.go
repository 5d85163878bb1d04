package jobs

// Sources provides the input of plans that does not come from the store of jobs.
type Sources interface {
	// Fleet returns the workers and teams currently known, and false while they
	// are not sufficient to place jobs.
	Fleet() (Fleet, bool)
}
