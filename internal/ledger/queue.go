package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/problem"
)

// Bounds of what waits and of what goes out at once.
const (
	maxWaiting    = 16384
	maxBatchBytes = 64 << 10 // RingSlots of these stay in memory
)

// queue holds a shard's operations until its committer takes them. mu guards
// all fields below it: at most one committer runs, and it is started when an
// operation waits that may not wait longer.
type queue struct {
	clock clockwork.Clock
	delay time.Duration // how long patient operations wait
	start func()        // runs the committer

	mu      sync.Mutex
	waiting waitlist
	running bool
}

// put adds p and sees to it that a committer will take it.
func (q *queue) put(p *pending) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting.operations) >= maxWaiting {
		return tooManyWait()
	}
	q.waiting.add(p)
	q.arrange()
	return nil
}

func tooManyWait() error {
	return problem.New(problem.Overloaded, problem.StepClaim, "", "too many operations wait for the ledger; this attempt did not run")
}

// arrange starts the committer or the timer when either is needed. mu is held.
func (q *queue) arrange() {
	switch {
	case q.running:
	case q.waiting.ready():
		q.running = true
		go q.start()
	case q.waiting.arm():
		q.clock.AfterFunc(q.delay, q.fallDue)
	}
}

func (q *queue) fallDue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.fallDue()
	q.arrange()
}

// take returns the operations of the next batch, oldest first. When there are
// none the committer has ended.
func (q *queue) take() []*pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting.ready() {
		q.running, q.waiting.due = false, false
		q.arrange()
		return nil
	}
	return q.waiting.take(maxBatchBytes)
}

// idle runs work unless a committer runs.
func (q *queue) idle(work func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running {
		work()
	}
}
