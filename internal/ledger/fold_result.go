package ledger

// foldResult is the result of one fold: the index of the segment, the numbers of
// the expired segments that were dropped, and the error of writing the segment.
type foldResult struct {
	index   Index
	dropped []uint64
	err     error
}
