package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/problem"
)

// Waits of a committer.
const (
	firstRetry  = 5 * time.Millisecond
	lastRetry   = 500 * time.Millisecond
	storeBudget = 10 * time.Second // of one round against the store
	forgetIdle  = time.Minute      // after which an unused shard's state is dropped
)

// Shard carries out operations on one shard of the log. The queue's lock
// guards what waits; all else belongs to the one committer that the queue lets
// run, and passes to the next under that lock.
type Shard struct {
	number   int
	store    LogStore
	clock    clockwork.Clock
	options  Options
	counters *Counters
	queue    *queue

	state    *State // nil: to be loaded
	behind   bool   // the store may have batches that state lacks
	justRead bool   // nothing was written since the store was read to its end
	pacer    pacer
	lastUse  time.Time
	folder   folder
}

func newShard(number int, store LogStore, clock clockwork.Clock, options Options, counters *Counters) *Shard {
	s := &Shard{number: number, store: store, clock: clock, options: options, counters: counters}
	s.folder = folder{shard: number, store: store, counters: counters, done: make(chan folded, 1)}
	s.pacer = newPacer(clock, options)
	s.queue = &queue{clock: clock, delay: options.OutcomeDelay, start: s.run}
	return s
}

// Do carries out operation and waits for the verdict until ctx ends.
func (s *Shard) Do(ctx context.Context, operation Record) (Verdict, error) {
	p := newPending(ctx, operation)
	if err := s.queue.put(p); err != nil {
		return Verdict{}, err
	}
	return p.wait()
}

// run commits until nothing is left that may not wait.
func (s *Shard) run() {
	for {
		s.pacer.wait()
		work := s.queue.take()
		if work == nil {
			return
		}
		s.commit(work)
		s.lastUse = s.clock.Now()
	}
}

// commit tries until every operation has its verdict or nobody waits for one.
func (s *Shard) commit(work []*pending) {
	wait := firstRetry
	for {
		work = waited(work)
		if len(work) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeBudget)
		err := s.round(ctx, work)
		cancel()
		if err == nil {
			return
		}
		if problem.Is(err, problem.Conflict) {
			wait = firstRetry // another entry made progress
		}
		<-s.clock.After(wait/2 + rand.N(wait))
		wait = min(2*wait, lastRetry)
	}
}

// waited drops the operations that were given up.
func waited(work []*pending) []*pending {
	kept := work[:0:0]
	for _, p := range work {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// forget drops the state of a shard that has not been used for long.
func (s *Shard) forget() {
	s.queue.idle(func() {
		if s.state != nil && !s.folder.busy && s.clock.Since(s.lastUse) > forgetIdle {
			s.state = nil
		}
	})
}
