package scheduler

// unsavedEnd is an end that was taken in and may not be forgotten yet: the next
// owner would have to hear of it from the worker.
type unsavedEnd struct {
	number int64
	task   TaskID
}

// dropSavedEnds forgets the ends that may be forgotten.
func (w *worker) dropSavedEnds() {
	kept := 0
	for kept < len(w.unsavedEnds) && w.unsavedEnds[kept].number <= w.ackableEnds {
		kept++
	}
	w.unsavedEnds = w.unsavedEnds[kept:]
}
