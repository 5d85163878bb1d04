package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Timing and bounds of a yamux session.
const (
	keepAliveInterval = 10 * time.Second
	writeTimeout      = 5 * time.Second
	streamBacklog     = 256
	streamWindowBytes = 256 << 10
)

// sessionConfig returns the yamux configuration of both sides.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = streamBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard // calls return the errors that yamux would log
	return c
}
