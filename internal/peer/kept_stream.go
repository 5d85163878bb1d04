package peer

import (
	"time"

	"github.com/hashicorp/yamux"
)

// keptStream is an open stream without a call since a time.
type keptStream struct {
	stream *yamux.Stream
	since  time.Time
}
