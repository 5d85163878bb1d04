package scheduler

// unsavedEnd is an end that was applied and whose change is not saved yet. The worker
// has to go on reporting it, so that a next owner receives it.
type unsavedEnd struct {
	number int64
	task   TaskID
}

// dropSavedEnds removes the ends that may be acknowledged.
func (w *worker) dropSavedEnds() {
	saved := 0
	for saved < len(w.unsavedEnds) && w.unsavedEnds[saved].number <= w.ackableEnds {
		saved++
	}
	w.unsavedEnds = w.unsavedEnds[saved:]
}
