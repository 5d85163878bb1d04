package readbudget

// phase is the step of a connection's present request.
type phase uint8

const (
	waiting phase = iota // for the first byte of a request
	head
	body
	serving // the request is whole; its connection is never given up for room
)
