package request

// attemptResult is the result of one attempt. placed is false when no instance
// was found for it.
type attemptResult struct {
	answer Answer
	err    error
	placed bool
}

// discard closes an answer that is not used.
func (r attemptResult) discard() {
	if r.answer.Remainder != nil {
		_ = r.answer.Remainder.Close()
	}
}
