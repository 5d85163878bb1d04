package test

// ledgerResponse is the response that a caller of a keyed request received.
type ledgerResponse struct {
	key     string
	outcome string
	status  int
	body    string
}
