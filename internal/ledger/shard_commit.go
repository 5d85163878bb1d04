package ledger

import (
	"context"

	"github.com/google/uuid"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// tryCommit decides work on the latest known state and appends the resulting
// records. It resolves the operations only after a successful append, which
// proves that no other entry has appended in between. When there is nothing to
// append, provisional verdicts are valid only if the store was just read to its
// end. After an error no operation is resolved.
func (s *Shard) tryCommit(ctx context.Context, work []*pending) error {
	if err := s.prepare(ctx); err != nil {
		return err
	}
	d, err := s.decideAll(ctx, work)
	if err != nil {
		return err
	}
	if len(d.records) == 0 && d.provisional && !s.justRead {
		s.behind = true
		return s.tryCommit(ctx, work)
	}
	if len(d.records) > 0 {
		if err := s.append(ctx, d.records); err != nil {
			return err
		}
	}
	s.justRead = false
	for i, p := range work {
		p.resolve(d.results[i].Verdict, d.results[i].Err)
	}
	return nil
}

// prepare updates the state if it is behind the store, and waits for a fold if
// the ring is full.
func (s *Shard) prepare(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if err := s.segments.apply(ctx, s.state, s.state.Full()); err != nil {
		return err
	}
	s.segments.start(s.state, s.clock.Now())
	if s.state.Full() {
		return s.segments.apply(ctx, s.state, true)
	}
	return nil
}

// append writes the next batch. After an error the state may be behind the
// store: another entry may have written the slot, or the batch was written and
// only the response was lost. The next tryCommit reads the slot, and an attempt
// recognizes its own claim in it.
func (s *Shard) append(ctx context.Context, records []Record) error {
	seq, ifVersion := s.state.Next()
	batch := Batch{Seq: seq, Records: records}
	s.limiter.record()
	version, err := s.store.Append(ctx, s.number, batch, ifVersion)
	if err != nil {
		s.behind = true
		if problem.Is(err, problem.Conflict) {
			s.counters.add(countConflicts)
		} else {
			s.counters.add(countAmbiguous)
		}
		return err
	}
	s.counters.add(countBatches)
	s.state.Apply(StoredBatch{Batch: batch, Version: version})
	return nil
}

// catchUp loads the state if there is none, and otherwise reads the batches that
// it lacks.
func (s *Shard) catchUp(ctx context.Context) error {
	if s.state == nil {
		return s.load(ctx)
	}
	for s.behind {
		next, _ := s.state.Next()
		b, err := s.store.Read(ctx, s.number, next)
		switch {
		case problem.Is(err, problem.NotFound), err == nil && b.Seq < next:
			s.behind, s.justRead = false, true
		case err != nil:
			return err
		case b.Seq > next || s.state.Full():
			return s.load(ctx)
		default:
			s.state.Apply(b)
		}
	}
	return nil
}

func (s *Shard) load(ctx context.Context) error {
	if err := s.segments.discard(ctx); err != nil {
		return err
	}
	s.counters.add(countLoads)
	snapshot, err := s.store.Load(ctx, s.number)
	if err != nil {
		return err
	}
	s.state, s.behind, s.justRead = NewState(snapshot), false, true
	return nil
}

// current returns the latest record of key, from memory or from a segment. read
// caches the segments that were read. The record has PhaseNone when the log has
// none.
func (s *Shard) current(ctx context.Context, key uuid.UUID, read map[uint64]*Segment) (Record, error) {
	r, found, number, folded := s.state.Find(key)
	if found || !folded {
		return r, nil
	}
	segment, ok := read[number]
	if !ok {
		var err error
		segment, err = s.store.ReadSegment(ctx, s.number, number)
		if problem.Is(err, problem.NotFound) {
			segment, err = &Segment{Number: number}, nil // dropped by an entry whose clock is ahead
		}
		if err != nil {
			return r, err
		}
		read[number] = segment
	}
	r, found = segment.Find(key)
	if !found {
		// Either another key has the same fingerprint, and the record of this
		// key may be in an older segment, or the segment was dropped. The key
		// counts as in doubt, so that no claim is granted.
		return Record{Key: key, Phase: PhaseInDoubt}, nil
	}
	return r, nil
}

// isProvisional reports whether a later batch may change a verdict with this
// state.
func isProvisional(state request.ClaimState) bool {
	return state == request.ClaimInProgress || state == request.ClaimInDoubt
}
