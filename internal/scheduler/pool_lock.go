package scheduler

import (
	"errors"
	"sync"
)

// errPoolUnusable ends each use of a pool in which a change ended with an unexpected
// error.
var errPoolUnusable = errors.New("the pool cannot be used: a change of it ended with an unexpected error and may be applied in part")

// poolLock guards a pool. Once a holder of the lock panics, each further Lock panics
// too: the pool must be dropped and loaded again. mu guards unusable.
type poolLock struct {
	mu       sync.Mutex
	unusable bool
}

// Lock acquires the lock. It panics with errPoolUnusable if an earlier holder panicked.
func (l *poolLock) Lock() {
	l.mu.Lock()
	if l.unusable {
		l.mu.Unlock()
		panic(errPoolUnusable)
	}
}

// Unlock releases the lock. It must be deferred directly: only so does it notice that
// its caller panics, which it then lets go on.
func (l *poolLock) Unlock() {
	cause := recover()
	l.unusable = l.unusable || cause != nil
	l.mu.Unlock()
	if cause != nil {
		panic(cause)
	}
}
