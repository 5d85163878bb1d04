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

// historyPrefix holds the slots of the history: a ring, so that it never grows
// and nothing has to be deleted.
const historyPrefix = "persimmonbay/configuration/history/"

// HistorySlots is how many replaced versions are kept.
const HistorySlots = 32

// keepHistory copies the record that is about to be replaced into its slot. A
// repeat does no harm, and a late copy of this write fails its condition.
func (s *Store) keepHistory(ctx context.Context, replaced historic) error {
	if replaced.Version == 0 {
		return nil
	}
	value, err := json.Marshal(replaced)
	if err != nil {
		return problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	key := slotKey(replaced.Record.Sequence)
	pause := retryPause()
	for range maxTries {
		var slot api.KeyValue
		if slot, err = s.read(ctx, key); err != nil && !problem.Is(err, problem.NotFound) {
			return notAsked(err)
		}
		var held historic
		if json.Unmarshal(slot.Value, &held) == nil && held.Version >= replaced.Version {
			return nil
		}
		if _, err = s.store.Put(ctx, key, value, platform.IfVersion(slot.Version), ""); err == nil {
			return nil
		}
		if problem.Is(err, problem.Unavailable) || !s.wait(ctx, pause.NextBackOff()) {
			break
		}
	}
	return notAsked(err)
}

// successor returns the record that replaced base: the current one or one of
// the history. It is not found when the history does not go back that far.
func (s *Store) successor(ctx context.Context, base configuration.Version, current historic) (historic, bool, error) {
	candidate := current
	for range HistorySlots + 1 {
		if candidate.Version == 0 {
			return historic{}, false, nil
		}
		if candidate.Record.Base == base {
			return candidate, true, nil
		}
		earlier, err := s.slot(ctx, candidate.Record.Sequence-1)
		if err != nil {
			return historic{}, false, err
		}
		if earlier.Version != candidate.Record.Base {
			return historic{}, false, nil
		}
		candidate = earlier
	}
	return historic{}, false, nil
}

// slot returns what the history holds in the slot of sequence; version 0 when
// it holds nothing.
func (s *Store) slot(ctx context.Context, sequence uint64) (historic, error) {
	kv, err := s.read(ctx, slotKey(sequence))
	if problem.Is(err, problem.NotFound) {
		return historic{}, nil
	}
	if err != nil {
		return historic{}, err
	}
	var h historic
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return historic{}, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
	}
	return h, nil
}

// History returns the latest accepted versions, oldest first.
func (s *Store) History(ctx context.Context) ([]Applied, error) {
	current, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	history, err := s.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	applied := make([]Applied, 0, len(history.Items)+1)
	for _, kv := range history.Items {
		var h historic
		if err := json.Unmarshal(kv.Value, &h); err != nil {
			return nil, problem.Wrap(problem.Internal, problem.StepConfiguration, kv.Key, err)
		}
		if h.Version != current.Version { // it is kept shortly before it is replaced
			applied = append(applied, h.applied())
		}
	}
	if current.Version != 0 {
		applied = append(applied, current.applied())
	}
	sort.Slice(applied, func(i, j int) bool { return applied[i].Version < applied[j].Version })
	return applied, nil
}

func slotKey(sequence uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, sequence%HistorySlots)
}
