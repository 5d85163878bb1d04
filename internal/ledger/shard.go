package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/problem"
)

// Waits and timeouts of a committer. The wait between retries doubles from
// firstRetry to lastRetry.
const (
	firstRetry   = 5 * time.Millisecond
	lastRetry    = 500 * time.Millisecond
	storeTimeout = 10 * time.Second // of one attempt to commit, or of one fold
	idleTimeout  = time.Minute      // after which the state of an idle shard is dropped
)

// Shard executes operations on one shard of the log. The queue's lock guards the
// waiting operations. Only the committer uses the other fields; the queue runs
// at most one committer, and its lock orders one committer before the next.
type Shard struct {
	number   int
	store    LogStore
	clock    clockwork.Clock
	options  Options
	counters *Counters
	queue    *queue

	state    *State // nil when it has to be loaded
	behind   bool   // the store may have batches that state lacks
	justRead bool   // the store was read to its end, and nothing was committed since
	limiter  writeLimiter
	lastUse  time.Time
	segments segmentWriter
}

func newShard(number int, store LogStore, clock clockwork.Clock, options Options, counters *Counters) *Shard {
	s := &Shard{number: number, store: store, clock: clock, options: options, counters: counters}
	s.segments = segmentWriter{shard: number, store: store, counters: counters, done: make(chan foldResult, 1)}
	s.limiter = newWriteLimiter(clock, options)
	s.queue = &queue{clock: clock, delay: options.OutcomeDelay, start: s.run}
	return s
}

// Do executes operation and waits for the verdict until ctx ends. After an error
// it is unknown whether the operation was or will be executed.
func (s *Shard) Do(ctx context.Context, operation Record) (Verdict, error) {
	p := newPending(ctx, operation)
	if err := s.queue.put(p); err != nil {
		return Verdict{}, err
	}
	return p.wait()
}

// run commits batches until the queue has no more operations that are due.
func (s *Shard) run() {
	for {
		s.limiter.wait()
		work := s.queue.take()
		if work == nil {
			return
		}
		s.commit(work)
		s.lastUse = s.clock.Now()
	}
}

// commit retries until every operation has a verdict or its context has ended.
func (s *Shard) commit(work []*pending) {
	wait := firstRetry
	for {
		work = dropCancelled(work)
		if len(work) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := s.tryCommit(ctx, work)
		cancel()
		if err == nil {
			return
		}
		if problem.Is(err, problem.Conflict) {
			wait = firstRetry // another entry has appended a batch
		}
		<-s.clock.After(wait/2 + rand.N(wait))
		wait = min(2*wait, lastRetry)
	}
}

// dropCancelled returns the operations whose context has not ended.
func dropCancelled(work []*pending) []*pending {
	remaining := work[:0:0]
	for _, p := range work {
		if p.ctx.Err() == nil {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

// dropIdle drops the state of a shard that has been idle for idleTimeout.
func (s *Shard) dropIdle() {
	s.queue.runIfIdle(func() {
		if s.state != nil && !s.segments.running && s.clock.Since(s.lastUse) > idleTimeout {
			s.state = nil
		}
	})
}
