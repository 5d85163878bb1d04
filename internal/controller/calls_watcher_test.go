package controller_test

import (
	"context"
	"time"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
)

// callsWatcher watches the records as an entry does, with one watch call after
// the other. A call ends at the first change.
type callsWatcher struct {
	holder   bool
	view     *maintenance.View
	listed   bool
	revision uint64
	nextCall time.Time // when the next call is sent
	sentAt   time.Time // when the waiting call was sent; zero: no call waits
}

func (w *callsWatcher) tick(ctx context.Context, f *callsFleet) {
	store := f.store.as("pools")
	if f.now().Before(w.nextCall) {
		return
	}
	if !w.listed {
		listing, _ := store.List(ctx, fleetstore.Prefix)
		_ = fleetstore.ApplyListing(w.view, listing)
		w.listed, w.revision = true, listing.Revision
		return
	}
	if w.sentAt.IsZero() {
		w.sentAt = f.now()
		f.store.count("pools", "watch")
	}
	changes, _ := f.store.Watch(ctx, fleetstore.Prefix, w.revision, 0)
	if len(changes.Events) == 0 && f.now().Sub(w.sentAt) < callsWait {
		return
	}
	for _, e := range changes.Events {
		_ = fleetstore.ApplyEvent(w.view, e)
	}
	w.revision, w.sentAt = changes.Revision, time.Time{}
	if len(changes.Events) > 0 {
		w.nextCall = f.now().Add(controller.WatchPause(w.view.State(), w.holder))
	}
}
