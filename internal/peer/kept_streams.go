package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Bounds of the streams that are kept open between calls.
const (
	maxKept   = 4                // streams of one session
	keptFor   = 20 * time.Second // without a call; the server waits longer
	idleLimit = time.Minute      // how long the server waits for the next call on a stream
)

// keptStreams are the open streams of a session that no call uses. mu guards
// idle; a stream in it has neither a request nor an answer under way.
type keptStreams struct {
	mu   sync.Mutex
	idle []keptStream // least recently used first
}

// take returns the stream that was used last, or nil when none is fresh enough
// at now. Those that are not are closed.
func (k *keptStreams) take(now time.Time) *yamux.Stream {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.idle) == 0 {
		return nil
	}
	last := k.idle[len(k.idle)-1]
	if now.Sub(last.since) > keptFor {
		for _, s := range k.idle {
			_ = s.stream.Close()
		}
		k.idle = nil
		return nil
	}
	k.idle = k.idle[:len(k.idle)-1]
	return last.stream
}

// put keeps a stream whose call has its whole answer, or closes it when there
// are enough.
func (k *keptStreams) put(stream *yamux.Stream, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.idle) >= maxKept {
		_ = stream.Close()
		return
	}
	k.idle = append(k.idle, keptStream{stream: stream, since: now})
}
