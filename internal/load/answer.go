package load

// answer is what came of one request.
type answer struct {
	status  int
	outcome string
	body    string // its beginning, of an answer that is not good
	err     error  // why there is no whole answer
}
