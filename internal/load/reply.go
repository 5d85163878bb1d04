package load

// reply is the result of one request.
type reply struct {
	status  int
	outcome string
	body    string // beginning of the body when the status is not 2xx
	err     error  // why no whole response was received
}
