package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/problem"
)

// Bounds of a queue and of what it gives out at once.
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
	waiting []*pending
	urgent  int  // waiting operations that are not patient
	due     bool // the patient have waited long enough
	armed   bool // a timer runs that sets due
	running bool
}

// put adds p and sees to it that a committer will take it.
func (q *queue) put(p *pending) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxWaiting {
		return problem.New(problem.Overloaded, problem.StepClaim, "", "too many operations wait for the ledger; this attempt did not run")
	}
	q.waiting = append(q.waiting, p)
	if !p.patient() {
		q.urgent++
	}
	q.arrange()
	return nil
}

// arrange starts the committer or the timer when either is needed. mu is held.
func (q *queue) arrange() {
	switch {
	case q.running || len(q.waiting) == 0:
	case q.urgent > 0 || q.due:
		q.running = true
		go q.start()
	case !q.armed:
		q.armed = true
		q.clock.AfterFunc(q.delay, q.fallDue)
	}
}

func (q *queue) fallDue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.armed, q.due = false, true
	q.arrange()
}

// take returns the operations of the next batch, oldest first. When there are
// none the committer has ended.
func (q *queue) take() []*pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.urgent == 0 && !q.due || len(q.waiting) == 0 {
		q.running, q.due = false, false
		q.arrange()
		return nil
	}
	n, bytes := 0, 0
	for n < len(q.waiting) && (n == 0 || bytes+q.waiting[n].operation.Bytes() <= maxBatchBytes) {
		bytes += q.waiting[n].operation.Bytes()
		if !q.waiting[n].patient() {
			q.urgent--
		}
		n++
	}
	taken := q.waiting[:n:n]
	q.waiting = append([]*pending(nil), q.waiting[n:]...)
	q.due = false
	return taken
}

// idle runs work unless a committer runs.
func (q *queue) idle(work func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running {
		work()
	}
}
