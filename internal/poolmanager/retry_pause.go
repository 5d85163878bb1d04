package poolmanager

import (
	"math/rand/v2"
	"time"
)

// retryPause is how long a reader of the store pauses before it tries again. One
// goroutine uses it.
type retryPause struct {
	bound time.Duration // of the next pause; 0: minRetryDelay
}

// next returns a random time between half the bound and the bound, and doubles the bound
// up to maxRetryDelay. Readers that are refused at one moment so return at different ones.
func (p *retryPause) next() time.Duration {
	bound := max(p.bound, minRetryDelay)
	p.bound = min(2*bound, maxRetryDelay)
	return bound/2 + rand.N(bound/2+1)
}

// reset begins with the shortest pause again.
func (p *retryPause) reset() { p.bound = 0 }
