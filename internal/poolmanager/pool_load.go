package poolmanager

// poolLoad is how far an owner has read its pool from the store. It outlives a read
// that fails, so that each try goes on where the last one ended.
type poolLoad struct {
	rosterWritten bool             // the roster names this owner
	offers        *rangeRead       // of all pools; nil: not begun
	offered       map[string]int64 // machines that an earlier owner has offered, with the revisions of the offers; nil: not read yet
	jobs          *rangeRead       // nil: not begun
	states        *rangeRead       // each after its job; nil: not begun
}

// read returns how many items have been read.
func (l *poolLoad) read() int {
	n := 0
	for _, r := range []*rangeRead{l.offers, l.jobs, l.states} {
		if r != nil {
			n += len(r.items)
		}
	}
	return n
}
