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
// again when the store has compacted the revisions that the watch would need.
type watcher struct {
	store      store.Store
	clock      clockwork.Clock
	log        *zap.Logger
	invalid    *invalidEntries
	prefix     string
	wait       time.Duration                                       // how long the store holds one watch request open
	pause      time.Duration                                       // after changes, so that the next watch returns several at once
	timeout    time.Duration                                       // bounds a watch, in addition to wait
	reset      func(ctx context.Context, items []store.Item) error // replaces all that was read before
	apply      func(events []store.Event)                          // the changes of one watch, in order
	onResponse func(now time.Time)                                 // called after each response of the store; may be nil
}

// Bounds of the delay before a read or a watch that failed is tried again. The upper
// one is short enough for a new configuration to take effect in time.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// run reads and watches until ctx ends. from is the revision after which to watch;
// with 0, all keys are read first.
func (f *watcher) run(ctx context.Context, from int64) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		next, err := f.step(ctx, from)
		if err == nil {
			from, retry = next, minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if problem.Is(err, problem.Compacted) {
			from = 0
		}
		f.log.Debug("read or watch of the store failed, trying again", append(telemetry.ProblemFields(err), zap.String("prefix", f.prefix))...)
		sleep(ctx, f.clock, retry)
		retry = min(2*retry, maxRetryDelay)
	}
}

func (f *watcher) step(ctx context.Context, from int64) (int64, error) {
	if from == 0 {
		return f.readAll(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, f.wait+f.timeout)
	defer cancel()
	events, revision, err := f.store.Watch(limited, f.prefix, from, f.wait)
	if err != nil {
		return 0, err
	}
	for i := range events {
		f.logUnreadable(&events[i].Item)
	}
	if len(events) > 0 {
		f.apply(events)
	}
	f.responded()
	if len(events) > 0 && f.pause > 0 {
		sleep(ctx, f.clock, f.pause)
	}
	return max(from, revision), nil
}

func (f *watcher) readAll(ctx context.Context) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	items, revision, err := f.store.Range(limited, f.prefix)
	if err != nil {
		return 0, err
	}
	for i := range items {
		f.logUnreadable(&items[i])
	}
	if err := f.reset(limited, items); err != nil {
		return 0, err
	}
	f.responded()
	return revision, nil
}

// logUnreadable logs an item that the store's client could not read. The other items
// of the same response are valid.
func (f *watcher) logUnreadable(item *store.Item) {
	if item.Unreadable {
		f.invalid.logOnce(f.log, "unreadable item in the store, skipped", item, problem.New(problem.Invalid, problem.StepStoreRead, item.Key, "the item cannot be read"))
	}
}

// readAllTimeout bounds one read of all keys of a prefix, which may take several
// pages.
const readAllTimeout = 3 * time.Second

func (f *watcher) responded() {
	if f.onResponse != nil {
		f.onResponse(f.clock.Now())
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
