package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// Bounds of the wait after a failed call.
const (
	watcherFirstWait = 100 * time.Millisecond
	watcherMaxWait   = 2 * time.Second
)

// Watcher keeps up with the keys under a prefix: it lists them once and then
// watches, and lists again whenever the watch has fallen behind.
type Watcher struct {
	Store   Store
	Prefix  string
	Wait    time.Duration // of one watch call
	Clock   clockwork.Clock
	Log     *zap.Logger
	Listed  func(api.Listing)
	Changed func(api.Event)
	Reached func(bool) // told after every call whether the store answered
	// Pause is called after every watch that brought changes, and may wait so
	// that further ones gather; nil: no pause.
	Pause func(ctx context.Context)
}

// Run follows until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = watcherFirstWait, watcherMaxWait
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = f.watch(ctx, revision)
		} else {
			revision, err = f.list(ctx)
		}
		listed = err == nil || listed && !problem.Is(err, problem.Compacted)
		if ctx.Err() != nil {
			return
		}
		f.Reached(err == nil || problem.Is(err, problem.Compacted))
		if err == nil {
			pause.Reset()
			continue
		}
		f.Log.Warn("following the store failed", zap.String("step", string(problem.StepStoreWatch)), zap.String("prefix", f.Prefix), zap.Error(err))
		select {
		case <-f.Clock.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

func (f *Watcher) list(ctx context.Context) (uint64, error) {
	listing, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return 0, err
	}
	f.Listed(listing)
	return listing.Revision, nil
}

func (f *Watcher) watch(ctx context.Context, after uint64) (uint64, error) {
	changes, err := f.Store.Watch(ctx, f.Prefix, after, f.Wait)
	if err != nil {
		return after, err
	}
	for _, e := range changes.Events {
		f.Changed(e)
	}
	if f.Pause != nil && len(changes.Events) > 0 {
		f.Pause(ctx)
	}
	return changes.Revision, nil
}
