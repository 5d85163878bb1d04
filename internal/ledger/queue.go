package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/problem"
)

// Limits of the operations that wait in a queue or an outbox, and of the bytes of
// a batch.
const (
	maxWaiting    = 16384
	maxBatchBytes = 64 << 10 // RingSlots batches of this size are held in memory per shard
)

// queue holds a shard's operations until its committer takes them. mu guards
// all fields below it. At most one committer runs. It is started when an urgent
// operation waits, or when another one has waited for delay.
type queue struct {
	clock clockwork.Clock
	delay time.Duration // how long operations that are not urgent wait
	start func()        // runs the committer

	mu      sync.Mutex
	waiting waitlist
	running bool
}

// put adds p to the queue and ensures that a committer will take it. It returns
// an error of kind Overloaded when too many operations wait.
func (q *queue) put(p *pending) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting.operations) >= maxWaiting {
		return errTooManyWaiting()
	}
	q.waiting.add(p)
	q.schedule()
	return nil
}

func errTooManyWaiting() error {
	return problem.New(problem.Overloaded, problem.StepClaim, "", "too many operations wait for the ledger; this attempt did not run")
}

// schedule starts the committer or the timer if needed. The caller holds mu.
func (q *queue) schedule() {
	switch {
	case q.running:
	case q.waiting.ready():
		q.running = true
		go q.start()
	case q.waiting.needsTimer():
		q.clock.AfterFunc(q.delay, q.delayElapsed)
	}
}

func (q *queue) delayElapsed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.delayElapsed()
	q.schedule()
}

// take returns the operations of the next batch, oldest first. When it returns
// none, the committer must end: the queue regards it as stopped.
func (q *queue) take() []*pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting.ready() {
		q.running, q.waiting.due = false, false
		q.schedule()
		return nil
	}
	return q.waiting.take(maxBatchBytes)
}

// runIfIdle calls work with the lock held, unless a committer runs.
func (q *queue) runIfIdle(work func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running {
		work()
	}
}
