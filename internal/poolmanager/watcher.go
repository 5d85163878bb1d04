package poolmanager

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// watcher reads all keys of a prefix and then watches them. It reads all of them
// again when the store has compacted the revisions that the watch would need, and when
// the changes since then can't be received in one response.
type watcher struct {
	store      store.Store
	clock      clockwork.Clock
	log        *zap.Logger
	invalid    *invalidItems
	prefix     string
	wait       time.Duration                                       // how long the store holds one watch request open
	pause      time.Duration                                       // after changes, so that the next watch returns several at once
	timeout    time.Duration                                       // bounds a watch, in addition to wait
	reset      func(ctx context.Context, items []store.Item) error // replaces all that was read before; called again after an error
	apply      func(events []store.Event)                          // the changes of one watch, in order
	onResponse func(now time.Time)                                 // called after each response of the store; may be nil
	sinceBoot  func() time.Duration                                // of the times for confirm; nil: without confirm
	confirm    func(sent time.Duration)                            // called once all changes up to the time at which a call was sent are applied
	read       *rangeRead                                          // of all keys; nil: none in progress
	readSent   time.Duration                                       // when the first page of read was sent
}

// Bounds of the delay before a read or a watch that failed is tried again. The lower
// one is the time of a few responses of the store. The upper one is short enough for a
// new configuration to take effect in time.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// maxWatchFailures is how many watches may time out, or have a response that can't be
// decoded, one after the other. Then all keys are read, page by page: the changes since
// the last watch may be too many for one response.
const maxWatchFailures = 6

// run reads and watches until ctx ends. from is the revision after which to watch;
// with 0, all keys are read first.
func (w *watcher) run(ctx context.Context, from int64) {
	retry, failures := minRetryDelay, 0
	for ctx.Err() == nil {
		next, err := w.step(ctx, from)
		if err == nil {
			from, retry, failures = next, minRetryDelay, 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if problem.Is(err, problem.Timeout) || problem.Is(err, problem.Internal) {
			failures++
		}
		if problem.Is(err, problem.Compacted) || problem.Is(err, problem.TooLarge) || failures >= maxWatchFailures {
			from, failures = 0, 0
		}
		w.log.Debug("read or watch of the store failed, trying again", append(telemetry.ProblemFields(err), zap.String("prefix", w.prefix))...)
		sleep(ctx, w.clock, retry)
		retry = min(2*retry, maxRetryDelay)
	}
}

func (w *watcher) step(ctx context.Context, from int64) (int64, error) {
	if from == 0 {
		return w.readAll(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, w.wait+w.timeout)
	defer cancel()
	sent := w.now()
	events, revision, err := w.store.Watch(limited, w.prefix, from, w.wait)
	if err != nil {
		return 0, err
	}
	for i := range events {
		w.logUnreadable(&events[i].Item)
	}
	if len(events) > 0 {
		w.apply(events)
	}
	w.responded(sent)
	if len(events) > 0 && w.pause > 0 {
		sleep(ctx, w.clock, w.pause)
	}
	return max(from, revision), nil
}

// readAll reads all keys. After an error, the next call goes on where this one ended.
func (w *watcher) readAll(ctx context.Context) (int64, error) {
	if w.read == nil {
		w.read, w.readSent = &rangeRead{prefix: w.prefix}, w.now()
	}
	if err := w.read.finish(ctx, w.store); err != nil {
		return 0, err
	}
	for i := range w.read.items {
		w.logUnreadable(&w.read.items[i])
	}
	if err := w.reset(ctx, w.read.items); err != nil {
		return 0, err
	}
	revision := w.read.revision
	w.read = nil
	w.responded(w.readSent)
	return revision, nil
}

// logUnreadable logs an item that the store's client could not read. The other items
// of the same response are valid.
func (w *watcher) logUnreadable(item *store.Item) {
	if item.Unreadable {
		w.invalid.logOnce(w.log, "unreadable item in the store, skipped", item, problem.New(problem.Invalid, problem.StepStoreRead, item.Key, "the item cannot be read"))
	}
}

// readAllTimeout bounds a step of several reads and writes that are small.
const readAllTimeout = 3 * time.Second

// responded is called after all changes are applied that a call returned.
func (w *watcher) responded(sent time.Duration) {
	if w.onResponse != nil {
		w.onResponse(w.clock.Now())
	}
	if w.confirm != nil {
		w.confirm(sent)
	}
}

func (w *watcher) now() time.Duration {
	if w.sinceBoot == nil {
		return 0
	}
	return w.sinceBoot()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
