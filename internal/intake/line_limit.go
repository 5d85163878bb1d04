package intake

import (
	"sync"
	"time"
)

// lineLimit allows one log line per lineInterval. mu guards the rest.
type lineLimit struct {
	mu       sync.Mutex
	next     time.Time
	unlogged int // since the last line
}

// lineInterval keeps the lines about refused jobs few, however many are refused.
const lineInterval = time.Second

// allow reports whether a line may be logged, and how many were not since the last.
func (l *lineLimit) allow(now time.Time) (unlogged int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.unlogged++
		return 0, false
	}
	unlogged = l.unlogged
	l.next, l.unlogged = now.Add(lineInterval), 0
	return unlogged, true
}
