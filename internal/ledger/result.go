package ledger

// result is what becomes of a pending operation.
type result struct {
	verdict Verdict
	err     error
}
