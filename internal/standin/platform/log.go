package platform

import (
	"strings"
	"sync"

	"persimmonbay/internal/platform/api"
)

// maxEvents is the maximum number of events that a log holds for watchers.
const maxEvents = 1 << 16

// log assigns a revision to every write and holds the latest events, ordered by
// revision without gaps. mu guards all fields.
type log struct {
	mu       sync.Mutex
	revision uint64
	events   []api.Event
	appended chan struct{} // closed by the next append
}

func newLog() *log { return &log{appended: make(chan struct{})} }

// append adds event under the next revision and returns that revision.
func (l *log) append(event api.Event) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	event.Revision = l.revision
	event.Version = l.revision
	l.events = append(l.events, event)
	if len(l.events) > maxEvents {
		l.events = append([]api.Event(nil), l.events[maxEvents/2:]...)
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return l.revision
}

func (l *log) current() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// after returns the events under prefix after revision, with the revision to
// continue from, and a channel that the next append closes. available is false if
// some of the events have been dropped.
func (l *log) after(revision uint64, prefix string) (changes api.Changes, appended <-chan struct{}, available bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.revision - uint64(len(l.events)) // revision before the oldest event held
	if revision < first {
		return changes, l.appended, false
	}
	changes = api.Changes{Revision: l.revision, Events: []api.Event{}}
	if revision > l.revision {
		return changes, l.appended, true
	}
	for _, e := range l.events[revision-first:] {
		if strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, l.appended, true
}
