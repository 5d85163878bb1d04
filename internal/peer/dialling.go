package peer

// dialling is a connection attempt that several calls may wait for. The fields
// hold once done is closed.
type dialling struct {
	done       chan struct{}
	connection *connection
	err        error
}
