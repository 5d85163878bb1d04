package upstream

import (
	"net"

	"github.com/google/uuid"

	"persimmonbay/internal/shard"
)

// silencer can make all open connections drop their data from then on, like a
// firewall between the two ends that has lost its state.
type silencer struct {
	open *shard.Map[string, *silentConn]
}

func newSilencer() *silencer {
	return &silencer{open: shard.NewMap[string, *silentConn]()}
}

func (s *silencer) listen(l net.Listener) net.Listener {
	return silencedListener{Listener: l, silencer: s}
}

func (s *silencer) track(c net.Conn) net.Conn {
	id := uuid.NewString()
	conn := &silentConn{Conn: c, silent: make(chan struct{}), closed: make(chan struct{}), untrack: func() { s.open.Delete(id) }}
	s.open.Set(id, conn)
	return conn
}

func (s *silencer) silenceOpen() {
	s.open.Range(func(_ string, c *silentConn) bool {
		c.silence()
		return true
	})
}
