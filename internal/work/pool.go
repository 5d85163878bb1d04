package work

import (
	"sync"
	"time"
)

// Pool is the work of one service's workers under one owner. mu guards all
// other fields but service, token and timing, which never change.
type Pool struct {
	service string
	token   int64
	timing  Timing

	mu       sync.Mutex
	takenAt  time.Time
	settled  bool            // all that an earlier owner may have started is known or has ended
	awaited  map[string]bool // workers on which an earlier owner may have started tasks
	jobs     map[string]*job
	order    []*job // the jobs by acceptance
	workers  map[string]*worker
	wall     time.Time // time of day at the last plan
	sequence int64     // of the last change that has to be kept
	learned  *durations
	counts   Counts
}

// NewPool returns the pool of service for the owner with the given fencing
// token. Workers in roster may hold tasks of an earlier owner.
func NewPool(service string, token int64, timing Timing, roster []string, now time.Time) *Pool {
	p := &Pool{
		service: service, token: token, timing: timing, takenAt: now,
		awaited: make(map[string]bool), jobs: make(map[string]*job), workers: make(map[string]*worker),
		learned: newDurations(),
	}
	for _, id := range roster {
		p.awaited[id] = true
	}
	return p
}

// Token returns the owner's fencing token.
func (p *Pool) Token() int64 { return p.token }

// Service returns the service whose workers the pool holds.
func (p *Pool) Service() string { return p.service }

// Counts returns what the pool has done so far.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}
