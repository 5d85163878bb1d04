package dispatch

import "sync"

// serviceShard is the shard of one service. mu guards service and everything
// that is reached through it.
type serviceShard struct {
	mu      sync.Mutex
	service service
}
