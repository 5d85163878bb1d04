package latecalls

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// record holds the lines of a play, with the time since its start. mu guards lines.
type record struct {
	startedAt time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{startedAt: time.Now()} }

// since returns the seconds from the play's start to t.
func (r *record) since(t time.Time) float64 { return t.Sub(r.startedAt).Seconds() }

func (r *record) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", r.since(time.Now()), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// containing returns the lines that contain any of the words.
func (r *record) containing(words ...string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, line := range r.lines {
		for _, word := range words {
			if strings.Contains(line, word) {
				found = append(found, line)
				break
			}
		}
	}
	return found
}

func (r *record) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines, "\n") + "\n"
}
