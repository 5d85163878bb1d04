package ledger

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Bounds of one entry's answers that are being kept.
const (
	maxAnswerBytes = 2 << 20          // of all that wait to be written, at once
	answerTimeout  = 10 * time.Second // after which the outcome is recorded without the answer
)

// answerKeeper keeps one entry's answers that are too large for the log. It
// has no lock: room and budget guard themselves.
type answerKeeper struct {
	store    AnswerStore
	clock    clockwork.Clock
	counters *Counters
	room     *semaphore.Weighted // bytes of answers that wait to be written
	budget   *answerBudget
}

func newAnswerKeeper(store AnswerStore, clock clockwork.Clock, options Options, counters *Counters) *answerKeeper {
	return &answerKeeper{store: store, clock: clock, counters: counters,
		room: semaphore.NewWeighted(maxAnswerBytes), budget: newAnswerBudget(options, clock.Now())}
}

// admit returns the outcome as it can be kept, of one of live entries. An
// answer that is too large for the log and finds no room is left out; release
// must be called once the outcome is no longer in use.
func (k *answerKeeper) admit(outcome Record, live int) (admitted Record, release func()) {
	if !outcome.tooLargeForLog() {
		return outcome, func() {}
	}
	bytes := int64(outcome.Bytes())
	if !k.room.TryAcquire(bytes) {
		return k.leaveOut(outcome), func() {}
	}
	if !k.budget.spend(k.clock.Now(), int(bytes), live) {
		k.room.Release(bytes)
		return k.leaveOut(outcome), func() {}
	}
	return outcome, func() { k.room.Release(bytes) }
}

// keep moves an answer that is too large for the log to the store of answers,
// and returns the outcome that names it. It tries until answerTimeout.
func (k *answerKeeper) keep(ctx context.Context, outcome Record) Record {
	if !outcome.tooLargeForLog() {
		return outcome
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	wait := firstRetry
	for {
		parts, err := k.store.WriteAnswer(ctx, outcome.Key, outcome.Attempt, outcome.Answer)
		if err == nil {
			k.counters.add(countAnswersKept)
			outcome.Answer, outcome.AnswerParts = nil, parts
			return outcome
		}
		if problem.Is(err, problem.TooLarge) {
			return k.leaveOut(outcome)
		}
		select {
		case <-k.clock.After(wait):
			wait = min(2*wait, lastRetry)
		case <-ctx.Done():
			return k.leaveOut(outcome)
		}
	}
}

func (k *answerKeeper) leaveOut(outcome Record) Record {
	k.counters.add(countAnswersLeftOut)
	outcome.Answer = nil
	return outcome
}

// fetch returns the answer that finished names, from the log or the store.
func (k *answerKeeper) fetch(ctx context.Context, finished Record) (*request.Answer, error) {
	if finished.Answer != nil {
		return finished.Answer, nil
	}
	if finished.AnswerParts == 0 {
		return nil, problem.New(problem.Conflict, problem.StepClaim, finished.Entry, "this request ran to its end once and does not run again; its answer was too large to keep")
	}
	answer, err := k.store.ReadAnswer(ctx, finished.Key, finished.Attempt, finished.AnswerParts)
	if err != nil {
		return nil, &problem.Error{Kind: unreadKind(err), Step: problem.StepClaim, Peer: finished.Entry, Err: err,
			Detail: "this request ran to its end once and does not run again; its answer could not be read"}
	}
	return answer, nil
}

// unreadKind is the kind of a failure to read a kept answer: Conflict when it
// has gone for good, else one that a later repeat may not meet.
func unreadKind(err error) problem.Kind {
	if problem.Is(err, problem.NotFound) {
		return problem.Conflict
	}
	return problem.Unavailable
}
