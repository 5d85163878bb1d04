package scheduler

// endMark states that the ends of a worker up to endNumber may be acknowledged once
// all changes up to changeSequence are saved.
type endMark struct {
	changeSequence int64
	endNumber      int64
}
