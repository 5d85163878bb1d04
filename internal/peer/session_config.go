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

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = streamBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard // its errors come back from the calls
	return c
}
