package ledger

// Reply is the result of one operation. Verdict is valid when Err is nil.
type Reply struct {
	Verdict Verdict
	Err     error // a *problem.Error
}
