package fleetstore

import (
	"context"
	"encoding/json"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
)

// Store writes records. Errors are *problem.Error; kind Conflict says that
// another change came first, and after Interrupted or Timeout only a later
// read can tell whether the write took effect.
type Store struct {
	store platform.Store
}

// New returns a store of records over the platform's store.
func New(store platform.Store) *Store { return &Store{store: store} }

// SaveRecord replaces the version of the record that r was made from.
func (s *Store) SaveRecord(ctx context.Context, r maintenance.Record) (uint64, error) {
	return s.save(ctx, recordKey(r.Instance), r, r.Version)
}

// DeleteRecord deletes the version of the record that r is.
func (s *Store) DeleteRecord(ctx context.Context, r maintenance.Record) error {
	return s.store.Delete(ctx, recordKey(r.Instance), platform.IfVersion(r.Version))
}

// SaveDisruptions replaces the version of the disruptions that d was made from.
func (s *Store) SaveDisruptions(ctx context.Context, d maintenance.Disruptions) (uint64, error) {
	return s.save(ctx, disruptionsKey, d, d.Version)
}

// SaveWave replaces the version of the wave that w was made from.
func (s *Store) SaveWave(ctx context.Context, w maintenance.Wave) (uint64, error) {
	return s.save(ctx, waveKey, w, w.Version)
}

// SaveRoster replaces the version of the roster that r was made from.
func (s *Store) SaveRoster(ctx context.Context, r maintenance.EntryRoster) (uint64, error) {
	return s.save(ctx, rosterKey, r, r.Version)
}

func (s *Store) save(ctx context.Context, key string, value any, version uint64) (uint64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, problem.Wrap(problem.Internal, problem.StepStoreWrite, key, err)
	}
	return s.store.Put(ctx, key, encoded, platform.IfVersion(version), "")
}
