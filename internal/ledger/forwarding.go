package ledger

import (
	"context"
	"slices"

	"persimmonbay/internal/problem"
)

// submit forwards operation to the owner of its shard. This entry executes it
// instead when it is the owner itself, or when the owner cannot be reached or
// does not regard itself as the owner.
func (l *Ledger) submit(ctx context.Context, operation Record) (Verdict, error) {
	number := l.shardOf(operation.Key)
	owner := Owner(number, l.peers.Live())
	if owner == l.options.Entry || l.suspected(owner) {
		return l.shards[number].Do(ctx, operation)
	}
	verdict, err := l.forward(ctx, owner, operation)
	if err == nil {
		l.counters.add(countForwarded)
		return verdict, nil
	}
	if ctx.Err() != nil {
		return Verdict{}, problem.Wrap(problem.Timeout, problem.StepClaim, owner, context.Cause(ctx))
	}
	l.counters.add(countPassedOver)
	if !problem.Is(err, problem.Conflict) {
		l.suspects.Set(owner, l.clock.Now().Add(suspectFor))
	}
	return l.shards[number].Do(ctx, operation)
}

// forward sends operation to owner, in one call with other waiting operations,
// and waits for the reply until ForwardTimeout or the end of ctx. The call
// itself may continue after that.
func (l *Ledger) forward(ctx context.Context, owner string, operation Record) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.ForwardTimeout)
	defer cancel()
	p := newPending(ctx, operation)
	if err := l.outbox(owner).put(p); err != nil {
		return Verdict{}, err
	}
	return p.wait()
}

func (l *Ledger) outbox(owner string) *outbox {
	return l.outboxes.GetOrCreate(owner, func() *outbox {
		return &outbox{owner: owner, peers: l.peers, clock: l.clock, delay: l.options.OutcomeDelay,
			timeout: l.options.ForwardTimeout, counters: l.counters}
	})
}

func (l *Ledger) suspected(owner string) bool {
	until, ok := l.suspects.Get(owner)
	return ok && l.clock.Now().Before(until)
}

// Serve executes operations that another entry forwarded and returns a reply to
// each, in order. An operation on a shard that this entry does not own, by its
// own view, fails with kind Conflict.
func (l *Ledger) Serve(ctx context.Context, operations []Record) []Reply {
	live := l.peers.Live()
	waiting := make([]*pending, len(operations))
	for i, operation := range operations {
		waiting[i] = newPending(ctx, operation)
		number := l.shardOf(operation.Key)
		if Owner(number, live) != l.options.Entry {
			waiting[i].resolve(Verdict{}, problem.New(problem.Conflict, problem.StepClaim, l.options.Entry, "not the owner of this shard"))
			continue
		}
		if err := l.shards[number].queue.put(waiting[i]); err != nil {
			waiting[i].resolve(Verdict{}, err)
		}
	}
	replies := make([]Reply, len(operations))
	for i, p := range waiting {
		replies[i].Verdict, replies[i].Err = p.wait()
	}
	return replies
}

// DropIdle drops the state of shards that have been idle for idleTimeout, and the
// outboxes of entries that are no longer live.
func (l *Ledger) DropIdle() {
	for _, s := range l.shards {
		s.dropIdle()
	}
	live := l.peers.Live()
	l.outboxes.Range(func(owner string, _ *outbox) bool {
		if !slices.Contains(live, owner) {
			l.outboxes.Delete(owner)
			l.suspects.Delete(owner)
		}
		return true
	})
}
