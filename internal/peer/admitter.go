package peer

// admitter is a connection that may be given up until its peer is authenticated.
type admitter interface {
	// Admit records that the peer is authenticated. It returns false if the connection was given
	// up before.
	Admit() bool
}
