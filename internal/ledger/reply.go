package ledger

// Reply is what becomes of one operation. Verdict holds when Err is nil.
type Reply struct {
	Verdict Verdict
	Err     error // a *problem.Error
}
