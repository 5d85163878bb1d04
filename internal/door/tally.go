package door

import (
	"maps"
	"sync"
	"time"
)

// Tally counts verdicts. It is safe for concurrent use. mu guards counts.
type Tally struct {
	mu     sync.Mutex
	counts Counts
}

// NewTally returns a Tally without verdicts.
func NewTally() *Tally {
	return &Tally{counts: Counts{ByCause: make(map[Cause]uint64), ByAge: make(map[string]uint64)}}
}

// Count counts a verdict.
func (t *Tally) Count(v *Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Refused() {
		t.counts.Refused++
	} else {
		t.counts.Accepted++
	}
	t.counts.ByCause[v.Cause]++
	if v.Cause != NoReport {
		t.counts.ByAge[ageRange(v.Age)]++
	}
}

// Counts returns the totals so far.
func (t *Tally) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.ByCause, c.ByAge = maps.Clone(c.ByCause), maps.Clone(c.ByAge)
	return c
}

func ageRange(age time.Duration) string {
	switch {
	case age <= 100*time.Millisecond:
		return "to 0.1 s"
	case age <= 300*time.Millisecond:
		return "to 0.3 s"
	}
	return "to 1 s"
}
