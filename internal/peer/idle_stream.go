package peer

import (
	"time"

	"github.com/hashicorp/yamux"
)

// idleStream is an open stream that has carried no call since a time.
type idleStream struct {
	stream *yamux.Stream
	since  time.Time
}
