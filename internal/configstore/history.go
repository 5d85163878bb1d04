package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// historyPrefix is the prefix of the history's keys. They are the slots of a ring
// buffer, so that the history is bounded and nothing has to be deleted.
const historyPrefix = "persimmonbay/configuration/history/"

// HistorySlots is the number of replaced versions that the history has.
const HistorySlots = 32

// saveHistory writes the record that is about to be replaced to its slot. It is
// idempotent. If a response is lost, a copy of the write that arrives late fails,
// because the slot then has another version.
func (s *Store) saveHistory(ctx context.Context, replaced versionedRecord) error {
	if replaced.Version == 0 {
		return nil
	}
	value, err := json.Marshal(replaced)
	if err != nil {
		return problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	key := slotKey(replaced.Record.Sequence)
	pause := retryPause()
	for range maxAttempts {
		var slot api.KeyValue
		if slot, err = s.read(ctx, key); err != nil && !problem.Is(err, problem.NotFound) {
			return notSent(err)
		}
		var stored versionedRecord
		if json.Unmarshal(slot.Value, &stored) == nil && stored.Version >= replaced.Version {
			return nil
		}
		if _, err = s.store.Put(ctx, key, value, platform.IfVersion(slot.Version), ""); err == nil {
			return nil
		}
		if problem.Is(err, problem.Unavailable) || !s.wait(ctx, pause.NextBackOff()) {
			break
		}
	}
	return notSent(err)
}

// successor returns the record that replaced base: the current one or one of the
// history. It reports false if the history does not go back that far.
func (s *Store) successor(ctx context.Context, base configuration.Version, current versionedRecord) (versionedRecord, bool, error) {
	candidate := current
	for range HistorySlots + 1 {
		if candidate.Version == 0 {
			return versionedRecord{}, false, nil
		}
		if candidate.Record.Base == base {
			return candidate, true, nil
		}
		earlier, err := s.slot(ctx, candidate.Record.Sequence-1)
		if err != nil {
			return versionedRecord{}, false, err
		}
		if earlier.Version != candidate.Record.Base {
			return versionedRecord{}, false, nil
		}
		candidate = earlier
	}
	return versionedRecord{}, false, nil
}

// slot returns the record in the history's slot for sequence, which may be that
// of another sequence. It has version 0 if the slot is empty.
func (s *Store) slot(ctx context.Context, sequence uint64) (versionedRecord, error) {
	kv, err := s.read(ctx, slotKey(sequence))
	if problem.Is(err, problem.NotFound) {
		return versionedRecord{}, nil
	}
	if err != nil {
		return versionedRecord{}, err
	}
	var h versionedRecord
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return versionedRecord{}, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
	}
	return h, nil
}

// History returns the latest accepted versions, oldest first: the current one and
// up to HistorySlots replaced ones.
func (s *Store) History(ctx context.Context) ([]AppliedVersion, error) {
	current, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	history, err := s.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	applied := make([]AppliedVersion, 0, len(history.Items)+1)
	for _, kv := range history.Items {
		var h versionedRecord
		if err := json.Unmarshal(kv.Value, &h); err != nil {
			return nil, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
		}
		if h.Version != current.Version { // the current record is saved to the history before it is replaced
			applied = append(applied, h.applied())
		}
	}
	if current.Version != 0 {
		applied = append(applied, current.applied())
	}
	sort.Slice(applied, func(i, j int) bool { return applied[i].Version < applied[j].Version })
	return applied, nil
}

// slotKey returns the key of the history's slot for sequence.
func slotKey(sequence uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, sequence%HistorySlots)
}
