package poolmanager

import (
	"context"
	"sync/atomic"
)

// pendingPoll is a poll that was sent.
type pendingPoll struct {
	cancel    context.CancelFunc
	held      bool        // the worker may hold its reply back
	withdrawn atomic.Bool // it was ended as a poll without a wait is wanted
}
