package peer

// dialling is a connection attempt that several calls may wait for. connection
// and err are set before done is closed and must not be read earlier.
type dialling struct {
	done       chan struct{}
	connection *connection
	err        error
}
