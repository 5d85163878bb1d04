package keycheck

import (
	"sync"
	"time"

	"persimmonbay/internal/identity"
)

// lineLimit allows one log line per interval for each outcome. mu guards the rest.
type lineLimit struct {
	mu       sync.Mutex
	next     [identity.Outcomes]time.Duration // since boot
	unlogged [identity.Outcomes]int64         // since the last line
}

// lineInterval keeps the lines about refused calls few, however many callers there are.
const lineInterval = time.Second

// allow reports whether a line may be logged, and how many were not since the last.
func (l *lineLimit) allow(outcome identity.Outcome, now time.Duration) (unlogged int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.next[outcome] {
		l.unlogged[outcome]++
		return 0, false
	}
	unlogged = l.unlogged[outcome]
	l.next[outcome], l.unlogged[outcome] = now+lineInterval, 0
	return unlogged, true
}
