package ledger

import (
	"context"

	"github.com/google/uuid"

	"persimmonbay/internal/problem"
)

// Lookup returns the verdict on key without changing the log. Its record has
// PhaseNone when the log has none of key.
func (l *Ledger) Lookup(ctx context.Context, key uuid.UUID) (Verdict, error) {
	return l.submit(ctx, Record{Key: key, Phase: PhaseNone})
}

// InDoubt returns the latest records of the keys, within the retention, of which
// it is unknown whether their work was done. It reads the whole log, one segment
// at a time.
func (l *Ledger) InDoubt(ctx context.Context) ([]Record, error) {
	var all []Record
	for _, s := range l.shards {
		unfinished, err := s.unfinished(ctx)
		if err != nil {
			return nil, err
		}
		now := l.clock.Now()
		for _, r := range unfinished {
			if r.InDoubt(now) {
				all = append(all, r)
			}
		}
	}
	return all, nil
}

// unfinished returns the latest records, by key, that are claimed or in doubt.
// It reads only the store and shares no state with the committer.
func (s *Shard) unfinished(ctx context.Context) (map[uuid.UUID]Record, error) {
	snapshot, err := s.store.Load(ctx, s.number)
	if err != nil {
		return nil, err
	}
	latest := make(map[uuid.UUID]Record)
	apply := func(records []Record) {
		for _, r := range records {
			if r.Phase == PhaseClaimed || r.Phase == PhaseInDoubt {
				latest[r.Key] = r
				continue
			}
			delete(latest, r.Key)
		}
	}
	state := NewState(snapshot)
	for _, number := range state.SegmentNumbers() {
		segment, err := s.store.ReadSegment(ctx, s.number, number)
		if problem.Is(err, problem.NotFound) {
			continue // it is being dropped, since its keys have expired
		}
		if err != nil {
			return nil, err
		}
		apply(segment.Records)
	}
	for seq := state.folded + 1; seq <= state.top; seq++ {
		apply(state.ring[seq%RingSlots].Records)
	}
	return latest, nil
}
