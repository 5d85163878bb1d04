package ledger

// folded is the result of a folder's work.
type folded struct {
	index   Index
	dropped []uint64
	err     error
}
