package fleetstore

import (
	"context"
	"encoding/json"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
)

// Store reads and writes maintenance state. Errors are *problem.Error. Kind
// Conflict means that another change was committed first. After Interrupted or
// Timeout the outcome of a write is unknown until the key is read again.
type Store struct {
	store platform.Store
}

// New returns a Store that uses the platform's store.
func New(store platform.Store) *Store { return &Store{store: store} }

// SaveRecord writes r if the stored record still has r.Version, and returns its
// new version. Version 0 creates the record.
func (s *Store) SaveRecord(ctx context.Context, r maintenance.Record) (uint64, error) {
	return s.save(ctx, recordKey(r.Instance), r, r.Version)
}

// DeleteRecord deletes the record of r.Instance if it still has r.Version.
func (s *Store) DeleteRecord(ctx context.Context, r maintenance.Record) error {
	return s.store.Delete(ctx, recordKey(r.Instance), platform.IfVersion(r.Version))
}

// SaveDisruptions writes d if the stored disruptions still have d.Version, and
// returns their new version.
func (s *Store) SaveDisruptions(ctx context.Context, d maintenance.Disruptions) (uint64, error) {
	return s.save(ctx, disruptionsKey, d, d.Version)
}

// SaveWave writes w if the stored wave still has w.Version, and returns its new
// version.
func (s *Store) SaveWave(ctx context.Context, w maintenance.Wave) (uint64, error) {
	return s.save(ctx, waveKey, w, w.Version)
}

// SaveRoster writes r if the stored roster still has r.Version, and returns its
// new version.
func (s *Store) SaveRoster(ctx context.Context, r maintenance.EntryRoster) (uint64, error) {
	return s.save(ctx, rosterKey, r, r.Version)
}

// save encodes value and writes it if the key still has version.
func (s *Store) save(ctx context.Context, key string, value any, version uint64) (uint64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, problem.Wrap(problem.Internal, problem.StepStoreWrite, key, err)
	}
	return s.store.Put(ctx, key, encoded, platform.IfVersion(version), "")
}
