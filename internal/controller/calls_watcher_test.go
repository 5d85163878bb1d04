package controller_test

import (
	"context"
	"time"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
)

// callsWatcher follows the records as an entry does: one watch call after the
// other, each of which ends with the first change.
type callsWatcher struct {
	holder   bool
	view     *maintenance.View
	listed   bool
	revision uint64
	due      time.Time // when the next call begins
	begun    time.Time // of the call that waits; zero: none does
}

func (w *callsWatcher) tick(ctx context.Context, f *callsFleet) {
	store := f.store.as("pools")
	if f.now().Before(w.due) {
		return
	}
	if !w.listed {
		listing, _ := store.List(ctx, fleetstore.Prefix)
		_ = fleetstore.ApplyListing(w.view, listing)
		w.listed, w.revision = true, listing.Revision
		return
	}
	if w.begun.IsZero() {
		w.begun = f.now()
		f.store.count("pools", "watch")
	}
	changes, _ := f.store.Watch(ctx, fleetstore.Prefix, w.revision, 0)
	if len(changes.Events) == 0 && f.now().Sub(w.begun) < callsWait {
		return
	}
	for _, e := range changes.Events {
		_ = fleetstore.ApplyEvent(w.view, e)
	}
	w.revision, w.begun = changes.Revision, time.Time{}
	if len(changes.Events) > 0 {
		w.due = f.now().Add(controller.WatchPause(w.view.State(), w.holder))
	}
}
