package test

// answer is the response that a caller received.
type answer struct {
	status    int
	outcome   string
	requestID string
	body      []byte
}
