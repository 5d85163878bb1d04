package upstream

import (
	"net"

	"github.com/google/uuid"

	"persimmonbay/internal/shard"
)

// silencer can make the connections that are open now go silent for good, as
// if something between the two ends had lost track of them.
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
	conn := &silentConn{Conn: c, silent: make(chan struct{}), closed: make(chan struct{}), forget: func() { s.open.Delete(id) }}
	s.open.Set(id, conn)
	return conn
}

func (s *silencer) silenceOpen() {
	s.open.Range(func(_ string, c *silentConn) bool {
		c.silence()
		return true
	})
}
