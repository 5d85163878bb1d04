package fleetstore

import (
	"strings"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform/api"
)

// ApplyListing replaces the contents of view by those of the store. A value that
// cannot be decoded leaves that part of view unchanged; the first such error is
// returned.
func ApplyListing(view *maintenance.View, listing api.Listing) error {
	view.Invalidate()
	var first error
	listed := make(map[string]bool, len(listing.Items))
	for _, kv := range listing.Items {
		if id, isRecord := strings.CutPrefix(kv.Key, recordsPrefix); isRecord {
			listed[id] = true
		}
		if err := applyPut(view, kv); err != nil && first == nil {
			first = err
		}
	}
	view.Retain(listed)
	return first
}

// ApplyEvent applies one change of the store to view. It returns an error, and
// leaves view unchanged, if the value cannot be decoded.
func ApplyEvent(view *maintenance.View, event api.Event) error {
	if event.Type == api.EventPut {
		return applyPut(view, api.KeyValue{Key: event.Key, Value: event.Value, Version: event.Version})
	}
	switch id, isRecord := strings.CutPrefix(event.Key, recordsPrefix); {
	case isRecord:
		view.DropRecord(id, event.Revision)
	case event.Key == disruptionsKey:
		view.PutDisruptions(maintenance.Disruptions{})
	case event.Key == waveKey:
		view.PutWave(maintenance.Wave{})
	case event.Key == rosterKey:
		view.PutRoster(maintenance.EntryRoster{})
	}
	return nil
}

// applyPut decodes the value of a key into view. It ignores unknown keys.
func applyPut(view *maintenance.View, kv api.KeyValue) error {
	switch {
	case strings.HasPrefix(kv.Key, recordsPrefix):
		var r maintenance.Record
		if err := decode(kv, &r); err != nil {
			return err
		}
		r.Version = kv.Version
		view.PutRecord(r)
	case kv.Key == disruptionsKey:
		var d maintenance.Disruptions
		if err := decode(kv, &d); err != nil {
			return err
		}
		d.Version = kv.Version
		view.PutDisruptions(d)
	case kv.Key == waveKey:
		var w maintenance.Wave
		if err := decode(kv, &w); err != nil {
			return err
		}
		w.Version = kv.Version
		view.PutWave(w)
	case kv.Key == rosterKey:
		var r maintenance.EntryRoster
		if err := decode(kv, &r); err != nil {
			return err
		}
		r.Version = kv.Version
		view.PutRoster(r)
	}
	return nil
}
