package work

// unkeptEnd is an end that was taken in and may not be forgotten yet: the next
// owner would have to hear of it from the worker.
type unkeptEnd struct {
	number int64
	task   TaskID
}

// dropKept forgets the ends that may be forgotten.
func (w *worker) dropKept() {
	kept := 0
	for kept < len(w.unkept) && w.unkept[kept].number <= w.ackableEnds {
		kept++
	}
	w.unkept = w.unkept[kept:]
}
