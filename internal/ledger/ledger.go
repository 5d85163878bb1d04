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

// Limits of a ledger. defaultClaimTimeout applies to a claim whose request has no
// deadline.
const (
	tombstoneTimeout    = 2 * time.Second // the longest time that a refused request waits for its tombstone
	outcomeTimeout      = time.Minute     // after which an outcome that could not be written is given up
	maxPendingOutcomes  = 8192            // outcomes written in the background; beyond them the request waits
	suspectFor          = time.Second     // how long an owner that did not reply is passed over
	logAnswerBytes      = 4 << 10         // size of the largest answer that is written to the log itself
	defaultClaimTimeout = 10 * time.Second
)

// Ledger is the ledger of one entry. It is safe for concurrent use: each shard
// and outbox has its own lock, and the maps suspects and outboxes are sharded by
// entry.
type Ledger struct {
	options     Options
	peers       Peers
	clock       clockwork.Clock
	counters    *Counters
	answers     *largeAnswers
	shards      []*Shard
	suspects    *shard.Map[string, time.Time] // by owner, the time until which it is passed over
	outboxes    *shard.Map[string, *outbox]   // by owner
	outcomes    *semaphore.Weighted           // slots for outcomes being written
	withdrawals *semaphore.Weighted           // slots for claims being withdrawn
}

var _ request.Ledger = (*Ledger)(nil)

// New returns the ledger of the entry options.Entry. The log is in store, and
// answers that are too large for the log are in answers.
func New(store LogStore, answers AnswerStore, peers Peers, clock clockwork.Clock, options Options) *Ledger {
	l := &Ledger{
		options: options, peers: peers, clock: clock, counters: newCounters(),
		suspects:    shard.NewMapOf[string, time.Time](8),
		outboxes:    shard.NewMapOf[string, *outbox](8),
		outcomes:    semaphore.NewWeighted(maxPendingOutcomes),
		withdrawals: semaphore.NewWeighted(maxWithdrawals),
	}
	l.answers = newLargeAnswers(answers, clock, options, l.counters)
	for i := range options.Shards {
		l.shards = append(l.shards, newShard(i, store, clock, options, l.counters))
	}
	return l
}

// Counters returns the ledger's counters.
func (l *Ledger) Counters() *Counters { return l.counters }

// Close waits until the pending outcomes are written or given up. It returns the
// error of ctx when ctx ends first.
func (l *Ledger) Close(ctx context.Context) error {
	return l.outcomes.Acquire(ctx, maxPendingOutcomes)
}

// Claim implements request.Ledger. When it returns an error other than of kind
// Invalid, it withdraws the claim in the background: if the claim is in the log,
// the key becomes refused. A claim that is granted after the deadline, or after
// ctx has ended, is an error of kind Timeout.
func (l *Ledger) Claim(ctx context.Context, r *request.Request) (request.Claim, error) {
	operation, err := l.operationFor(r, PhaseClaimed)
	if err != nil {
		return request.Claim{}, err
	}
	verdict, err := l.submit(ctx, operation)
	if err == nil && verdict.State == request.ClaimGranted {
		err = l.checkDeadline(ctx, operation)
	}
	if err != nil {
		l.counters.add(countFailed)
		l.withdraw(ctx, operation, err)
		return request.Claim{}, notRun(err)
	}
	l.counters.add(claimCounters[verdict.State])
	return l.claimFor(ctx, verdict), nil
}

func (l *Ledger) checkDeadline(ctx context.Context, operation Record) error {
	if ctx.Err() != nil || !l.clock.Now().Before(operation.Deadline) {
		return problem.New(problem.Timeout, problem.StepClaim, "", "the claim was granted after the deadline")
	}
	return nil
}

// Complete implements request.Ledger. It writes outcomes in the background, so
// that the caller need not wait, unless maxPendingOutcomes are pending. The
// tombstone of a refusal is always written before Complete returns; if it cannot
// be written, the outcome is Unknown.
func (l *Ledger) Complete(ctx context.Context, r *request.Request, result request.Result) request.Result {
	operation, err := l.outcomeFor(r, result)
	if err != nil {
		return result
	}
	if result.Outcome == fleet.NotRun {
		return l.saveRefusal(ctx, operation, result)
	}
	operation, release := l.answers.admit(operation, len(l.peers.Live()))
	if !l.outcomes.TryAcquire(1) {
		defer release()
		l.save(ctx, operation)
		return result
	}
	go func() {
		defer l.outcomes.Release(1)
		defer release()
		l.save(ctx, operation)
	}()
	return result
}

// save writes an outcome to the log. An answer that is stored outside the log is
// written first, so that every answer to which the log refers exists. When save
// fails, the key stays claimed, and other attempts see it as in doubt.
func (l *Ledger) save(ctx context.Context, operation Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	_, _ = l.submit(ctx, l.answers.save(ctx, operation))
}

func (l *Ledger) saveRefusal(ctx context.Context, operation Record, result request.Result) request.Result {
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
