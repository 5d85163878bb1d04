package jobs

// Sources tells what jobs are placed by, besides the jobs.
type Sources interface {
	// Fleet returns the workers and teams as known now, and false when that is
	// not enough to place jobs by.
	Fleet() (Fleet, bool)
}
