package scheduler

// endMark ties the ends of a worker up to number to the change that came of
// them: the ends may be forgotten once that change is saved.
type endMark struct {
	change int64
	number int64
}
