package request

// attemptResult is what came of one attempt. Placed is false when no instance
// was found for it.
type attemptResult struct {
	answer Answer
	err    error
	placed bool
}

// discard drops an answer that nobody waits for.
func (r attemptResult) discard() {
	if r.answer.Rest != nil {
		_ = r.answer.Rest.Close()
	}
}
