package latecalls

// reply is a worker's answer to a call.
type reply struct {
	status int
	body   fields
}
