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

// watcher keeps up with all keys of a prefix: it reads them whole, then
// watches, and reads them whole again when the store has forgotten what came
// between.
type watcher struct {
	store   store.Store
	clock   clockwork.Clock
	log     *zap.Logger
	invalid *invalidEntries
	prefix  string
	wait    time.Duration
	pause   time.Duration // after changes, so that several are read at once
	call    time.Duration
	reset   func(ctx context.Context, items []store.Item) error
	apply   func(events []store.Event) // those of one answer
	after   func(now time.Time)        // after each answer of the store; may be nil
}

// Bounds of the time between two tries: a few answers of the store, up to what
// keeps a configuration in time.
const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// run follows until ctx ends. from is the revision to watch after; 0 reads
// everything first.
func (f *watcher) run(ctx context.Context, from int64) {
	retry := firstRetry
	for ctx.Err() == nil {
		next, err := f.step(ctx, from)
		if err == nil {
			from, retry = next, firstRetry
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if problem.Is(err, problem.Compacted) {
			from = 0
		}
		f.log.Debug("store not followed", append(telemetry.ProblemFields(err), zap.String("prefix", f.prefix))...)
		sleep(ctx, f.clock, retry)
		retry = min(2*retry, lastRetry)
	}
}

func (f *watcher) step(ctx context.Context, from int64) (int64, error) {
	if from == 0 {
		return f.readAll(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, f.wait+f.call)
	defer cancel()
	events, revision, err := f.store.Watch(limited, f.prefix, from, f.wait)
	if err != nil {
		return 0, err
	}
	for i := range events {
		f.read(&events[i].Item)
	}
	if len(events) > 0 {
		f.apply(events)
	}
	f.answered()
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
		f.read(&items[i])
	}
	if err := f.reset(limited, items); err != nil {
		return 0, err
	}
	f.answered()
	return revision, nil
}

// read tells of an item that could not be read. It names no value; the others
// hold.
func (f *watcher) read(item *store.Item) {
	if item.Unreadable {
		f.invalid.logOnce(f.log, "entry of the store not read", item, problem.New(problem.Invalid, problem.StepStoreRead, item.Key, "not an item of the store"))
	}
}

// readAllTimeout bounds one read of all keys of a prefix, several pages long.
const readAllTimeout = 3 * time.Second

func (f *watcher) answered() {
	if f.after != nil {
		f.after(f.clock.Now())
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
