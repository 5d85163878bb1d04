package main

import (
	"sync"
	"time"
)

// gangs lets the members of gangs work together. mu guards runs.
type gangs struct {
	mu   sync.Mutex
	runs map[gangRun]*gangState
}

// present records that a member has been started. With the last one the work begins.
func (g *gangs) present(gang string, attempt, count int, work time.Duration, m member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangRun{gang, attempt}
	s := g.runs[key]
	if s == nil {
		s = &gangState{}
		g.runs[key] = s
		time.AfterFunc(gangWait, func() { g.alone(key, count) })
	}
	s.members = append(s.members, m)
	if len(s.members) == count && !s.over {
		time.AfterFunc(work, func() { g.end(key, "done") })
	}
}

// alone ends the members of a gang that is not complete in time.
func (g *gangs) alone(key gangRun, count int) {
	g.mu.Lock()
	incomplete := len(g.runs[key].members) < count
	g.mu.Unlock()
	if incomplete {
		g.end(key, "alone")
	}
}

// ended breaks the other members of a gang of which one has ended.
func (g *gangs) ended(gang string, attempt int, _ *runner) { g.end(gangRun{gang, attempt}, "broken") }

func (g *gangs) end(key gangRun, how string) {
	g.mu.Lock()
	s := g.runs[key]
	if s == nil || s.over {
		g.mu.Unlock()
		return
	}
	s.over = true
	members := append([]member(nil), s.members...)
	g.mu.Unlock()
	for _, m := range members {
		m.runner.finish(m.task, m.run, how)
	}
}
