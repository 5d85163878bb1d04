package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Bounds of the streams that stay open between calls. The client stops using a
// stream well before the server closes it.
const (
	maxIdleStreams    = 4                // of one session
	clientIdleTimeout = 20 * time.Second // the client reuses no stream after this time without a call
	serverIdleTimeout = time.Minute      // the server closes a stream after this time without a call
)

// idleStreams are the open streams of a session that no call uses. No request or
// response is in flight on them. mu guards streams.
type idleStreams struct {
	mu      sync.Mutex
	streams []idleStream // least recently used first
}

// take removes and returns the stream that was used last, or nil if there is
// none. If even that one has been idle at now for longer than clientIdleTimeout,
// take closes all of them and returns nil.
func (s *idleStreams) take(now time.Time) *yamux.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) == 0 {
		return nil
	}
	last := s.streams[len(s.streams)-1]
	if now.Sub(last.since) > clientIdleTimeout {
		for _, idle := range s.streams {
			_ = idle.stream.Close()
		}
		s.streams = nil
		return nil
	}
	s.streams = s.streams[:len(s.streams)-1]
	return last.stream
}

// put adds a stream whose response was read completely, or closes it if there
// are maxIdleStreams already.
func (s *idleStreams) put(stream *yamux.Stream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= maxIdleStreams {
		_ = stream.Close()
		return
	}
	s.streams = append(s.streams, idleStream{stream: stream, since: now})
}
