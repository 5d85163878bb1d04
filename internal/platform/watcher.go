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

// Bounds of the exponential backoff after failed calls.
const (
	watcherFirstWait = 100 * time.Millisecond
	watcherMaxWait   = 2 * time.Second
)

// Watcher follows the keys under a prefix: it lists them once and then watches
// for changes. It lists them again if the store no longer has the events since
// the last known revision.
type Watcher struct {
	Store      Store
	Prefix     string
	Wait       time.Duration // how long one watch call waits for changes
	Clock      clockwork.Clock
	Log        *zap.Logger
	OnListing  func(api.Listing) // called with each listing
	OnEvent    func(api.Event)   // called with each change, in order of revision
	OnResponse func(bool)        // called after each call with whether the store responded
	// Pause, if not nil, is called after each watch that returned changes. It may
	// wait so that the next watch returns several changes together.
	Pause func(ctx context.Context)
}

// Run lists and watches until ctx ends. After a failed call it logs the error and
// retries.
func (w *Watcher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = watcherFirstWait, watcherMaxWait
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = w.watch(ctx, revision)
		} else {
			revision, err = w.list(ctx)
		}
		listed = err == nil || listed && !problem.Is(err, problem.Compacted)
		if ctx.Err() != nil {
			return
		}
		w.OnResponse(err == nil || problem.Is(err, problem.Compacted))
		if err == nil {
			pause.Reset()
			continue
		}
		w.Log.Warn("following the store failed", zap.String("step", string(problem.StepStoreWatch)), zap.String("prefix", w.Prefix), zap.Error(err))
		select {
		case <-w.Clock.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// list reads all keys and returns the revision to watch from.
func (w *Watcher) list(ctx context.Context) (uint64, error) {
	listing, err := w.Store.List(ctx, w.Prefix)
	if err != nil {
		return 0, err
	}
	w.OnListing(listing)
	return listing.Revision, nil
}

// watch waits for changes and returns the revision for the next watch, which is
// after itself if the call fails.
func (w *Watcher) watch(ctx context.Context, after uint64) (uint64, error) {
	changes, err := w.Store.Watch(ctx, w.Prefix, after, w.Wait)
	if err != nil {
		return after, err
	}
	for _, e := range changes.Events {
		w.OnEvent(e)
	}
	if w.Pause != nil && len(changes.Events) > 0 {
		w.Pause(ctx)
	}
	return changes.Revision, nil
}
