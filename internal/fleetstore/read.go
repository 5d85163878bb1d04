package fleetstore

import (
	"context"
	"encoding/json"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// LoadDisruptions reads the current disruptions.
func (s *Store) LoadDisruptions(ctx context.Context) (maintenance.Disruptions, error) {
	var d maintenance.Disruptions
	version, err := s.load(ctx, disruptionsKey, &d)
	d.Version = version
	return d, err
}

// LoadWave reads the latest wave.
func (s *Store) LoadWave(ctx context.Context) (maintenance.Wave, error) {
	var w maintenance.Wave
	version, err := s.load(ctx, waveKey, &w)
	w.Version = version
	return w, err
}

// LoadRecord reads the current record of an instance. It has version 0 if it
// does not exist.
func (s *Store) LoadRecord(ctx context.Context, instance string) (maintenance.Record, error) {
	var r maintenance.Record
	version, err := s.load(ctx, recordKey(instance), &r)
	r.Version = version
	return r, err
}

// load decodes the value of a key into target and returns the key's version, or
// 0 if the key does not exist.
func (s *Store) load(ctx context.Context, key string, target any) (uint64, error) {
	kv, err := s.store.Get(ctx, key)
	if problem.Is(err, problem.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return kv.Version, decode(kv, target)
}

// decode decodes the value of kv into target.
func decode(kv api.KeyValue, target any) error {
	if err := json.Unmarshal(kv.Value, target); err != nil {
		return problem.Wrap(problem.Internal, problem.StepStoreRead, kv.Key, err)
	}
	return nil
}
