package ledger

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Limits of the large answers that one entry is writing.
const (
	maxPendingAnswerBytes = 2 << 20          // sum over all answers that wait to be written
	answerTimeout         = 10 * time.Second // after which the outcome is recorded without the answer
)

// largeAnswers writes and reads one entry's answers that are too large for the
// log. It has no lock: pending and budget are safe for concurrent use.
type largeAnswers struct {
	store    AnswerStore
	clock    clockwork.Clock
	counters *Counters
	pending  *semaphore.Weighted // bytes of answers that wait to be written
	budget   *answerBudget
}

func newLargeAnswers(store AnswerStore, clock clockwork.Clock, options Options, counters *Counters) *largeAnswers {
	return &largeAnswers{store: store, clock: clock, counters: counters,
		pending: semaphore.NewWeighted(maxPendingAnswerBytes), budget: newAnswerBudget(options, clock.Now())}
}

// admit returns the outcome in the form in which it can be saved; live is the
// number of live entries, which share the budget. An answer that is too large
// for the log and exceeds a limit is omitted. The caller must call release once
// it no longer uses the outcome.
func (a *largeAnswers) admit(outcome Record, live int) (admitted Record, release func()) {
	if !outcome.tooLargeForLog() {
		return outcome, func() {}
	}
	bytes := int64(outcome.Bytes())
	if !a.pending.TryAcquire(bytes) {
		return a.omitAnswer(outcome), func() {}
	}
	if !a.budget.spend(a.clock.Now(), int(bytes), live) {
		a.pending.Release(bytes)
		return a.omitAnswer(outcome), func() {}
	}
	return outcome, func() { a.pending.Release(bytes) }
}

// save writes an answer that is too large for the log to the store of answers
// and returns the outcome with the number of its parts in place of the answer.
// It retries until answerTimeout, and then omits the answer.
func (a *largeAnswers) save(ctx context.Context, outcome Record) Record {
	if !outcome.tooLargeForLog() {
		return outcome
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	wait := firstRetry
	for {
		parts, err := a.store.WriteAnswer(ctx, outcome.Key, outcome.Attempt, outcome.Answer)
		if err == nil {
			a.counters.add(countAnswersSaved)
			outcome.Answer, outcome.AnswerParts = nil, parts
			return outcome
		}
		if problem.Is(err, problem.TooLarge) {
			return a.omitAnswer(outcome)
		}
		select {
		case <-a.clock.After(wait):
			wait = min(2*wait, lastRetry)
		case <-ctx.Done():
			return a.omitAnswer(outcome)
		}
	}
}

func (a *largeAnswers) omitAnswer(outcome Record) Record {
	a.counters.add(countAnswersOmitted)
	outcome.Answer = nil
	return outcome
}

// fetch returns the answer of the record finished, from the record itself or
// from the store of answers. Errors have the kind Conflict when the answer will
// never be available.
func (a *largeAnswers) fetch(ctx context.Context, finished Record) (*request.Answer, error) {
	if finished.Answer != nil {
		return finished.Answer, nil
	}
	if finished.AnswerParts == 0 {
		return nil, problem.New(problem.Conflict, problem.StepClaim, finished.Entry, "this request ran to its end once and does not run again; its answer was too large to store")
	}
	answer, err := a.store.ReadAnswer(ctx, finished.Key, finished.Attempt, finished.AnswerParts)
	if err != nil {
		return nil, &problem.Error{Kind: readErrorKind(err), Step: problem.StepClaim, Peer: finished.Entry, Err: err,
			Detail: "this request ran to its end once and does not run again; its answer could not be read"}
	}
	return answer, nil
}

// readErrorKind returns the error kind for a saved answer that could not be read:
// Conflict when the answer no longer exists, and Unavailable when a later repeat
// may be able to read it.
func readErrorKind(err error) problem.Kind {
	if problem.Is(err, problem.NotFound) {
		return problem.Conflict
	}
	return problem.Unavailable
}
