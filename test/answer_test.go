package test

// answer is what a caller got.
type answer struct {
	status    int
	outcome   string
	requestID string
	body      []byte
}
