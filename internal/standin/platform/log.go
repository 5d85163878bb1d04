package platform

import (
	"strings"
	"sync"

	"persimmonbay/internal/platform/api"
)

// keptEvents is how many events a log keeps for watchers.
const keptEvents = 1 << 16

// log gives every write its revision and keeps the latest events. mu guards
// all fields: events are ordered by revision without a gap.
type log struct {
	mu       sync.Mutex
	revision uint64
	events   []api.Event
	grown    chan struct{} // closed at the next append
}

func newLog() *log { return &log{grown: make(chan struct{})} }

// append gives event the next revision, keeps it and returns the revision.
func (l *log) append(event api.Event) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	event.Revision = l.revision
	event.Version = l.revision
	l.events = append(l.events, event)
	if len(l.events) > keptEvents {
		l.events = append([]api.Event(nil), l.events[keptEvents/2:]...)
	}
	close(l.grown)
	l.grown = make(chan struct{})
	return l.revision
}

func (l *log) current() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// after returns the events under prefix after revision, the revision to go on
// from, and a channel closed at the next append; kept is false when some of
// the events are no longer kept.
func (l *log) after(revision uint64, prefix string) (changes api.Changes, grown <-chan struct{}, kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.revision - uint64(len(l.events)) // revision before the oldest kept
	if revision < first {
		return changes, l.grown, false
	}
	changes = api.Changes{Revision: l.revision, Events: []api.Event{}}
	if revision > l.revision {
		return changes, l.grown, true
	}
	for _, e := range l.events[revision-first:] {
		if strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, l.grown, true
}
