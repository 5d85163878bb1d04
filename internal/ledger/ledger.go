package ledger

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/shard"
)

// Bounds of what happens after a request has ended.
const (
	tombstoneTimeout    = 2 * time.Second // how much longer a refusal may take
	outcomeTimeout      = time.Minute     // for which an outcome is worth keeping
	maxOutcomes         = 8192            // being kept at once; more make their requests wait
	suspectFor          = time.Second     // how long a silent owner is passed over
	logAnswerBytes      = 4 << 10         // of the largest answer that is kept in the log
	defaultClaimTimeout = 10 * time.Second
)

// Ledger is the ledger of one entry. Its shards and outboxes guard themselves;
// suspects and outboxes are sharded by entry.
type Ledger struct {
	options     Options
	peers       Peers
	clock       clockwork.Clock
	counters    *Counters
	answers     *answerKeeper
	shards      []*Shard
	suspects    *shard.Map[string, time.Time] // owners passed over until then
	outboxes    *shard.Map[string, *outbox]   // by owner
	room        *semaphore.Weighted           // for outcomes being kept
	withdrawals *semaphore.Weighted           // for claims being withdrawn
}

var _ request.Ledger = (*Ledger)(nil)

// New returns the ledger of an entry over the log in store and the large
// answers in answers.
func New(store LogStore, answers AnswerStore, peers Peers, clock clockwork.Clock, options Options) *Ledger {
	l := &Ledger{
		options: options, peers: peers, clock: clock, counters: newCounters(),
		suspects:    shard.NewMapOf[string, time.Time](8),
		outboxes:    shard.NewMapOf[string, *outbox](8),
		room:        semaphore.NewWeighted(maxOutcomes),
		withdrawals: semaphore.NewWeighted(maxWithdrawals),
	}
	l.answers = newAnswerKeeper(answers, clock, options, l.counters)
	for i := range options.Shards {
		l.shards = append(l.shards, newShard(i, store, clock, options, l.counters))
	}
	return l
}

// Counters returns what the ledger has counted.
func (l *Ledger) Counters() *Counters { return l.counters }

// Close waits until the outcomes that are being kept stand in the log, or ctx
// ends.
func (l *Ledger) Close(ctx context.Context) error { return l.room.Acquire(ctx, maxOutcomes) }

// Claim implements request.Ledger. A grant that comes after the deadline, or
// after the caller has gone, is not used but withdrawn: the key becomes
// refused.
func (l *Ledger) Claim(ctx context.Context, r *request.Request) (request.Claim, error) {
	operation, err := l.operation(r, PhaseClaimed)
	if err != nil {
		return request.Claim{}, err
	}
	verdict, err := l.submit(ctx, operation)
	if err == nil && verdict.State == request.ClaimGranted {
		err = l.late(ctx, operation)
	}
	if err != nil {
		l.counters.add(countFailed)
		l.withdraw(ctx, operation, err)
		return request.Claim{}, notRun(err)
	}
	l.counters.add(claimCounters[verdict.State])
	return l.claimOf(ctx, verdict), nil
}

func (l *Ledger) late(ctx context.Context, operation Record) error {
	if ctx.Err() != nil || !l.clock.Now().Before(operation.Deadline) {
		return problem.New(problem.Timeout, problem.StepClaim, "", "the claim came after the deadline")
	}
	return nil
}

// Complete implements request.Ledger. Outcomes are kept after the caller has
// its answer, except for a refusal: its tombstone has to stand first.
func (l *Ledger) Complete(ctx context.Context, r *request.Request, result request.Result) request.Result {
	operation, err := l.outcome(r, result)
	if err != nil {
		return result
	}
	if result.Outcome == fleet.NotRun {
		return l.refuse(ctx, operation, result)
	}
	operation, release := l.answers.admit(operation, len(l.peers.Live()))
	if !l.room.TryAcquire(1) {
		defer release()
		l.keep(ctx, operation)
		return result
	}
	go func() {
		defer l.room.Release(1)
		defer release()
		l.keep(ctx, operation)
	}()
	return result
}

// keep records an outcome, after its answer if that is kept outside the log:
// what the log names is there. When that fails the key stays claimed and is in
// doubt for everyone else.
func (l *Ledger) keep(ctx context.Context, operation Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	_, _ = l.submit(ctx, l.answers.keep(ctx, operation))
}

func (l *Ledger) refuse(ctx context.Context, operation Record, result request.Result) request.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tombstoneTimeout)
	defer cancel()
	verdict, err := l.submit(ctx, operation)
	if err != nil || verdict.State != request.ClaimGranted {
		result.Outcome = fleet.Unknown
		return result
	}
	l.counters.add(countTombstones)
	return result
}

func (l *Ledger) shardOf(key uuid.UUID) int {
	return int(xxhash.Sum64(key[:]) % uint64(len(l.shards)))
}
