package ledger

import (
	"context"

	"github.com/google/uuid"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// round decides work on the latest state known and writes what has to be
// written. Only when that took effect, and so nobody extended the log in
// between, are the verdicts given out. After an error nothing was given out.
func (s *Shard) round(ctx context.Context, work []*pending) error {
	if err := s.prepare(ctx); err != nil {
		return err
	}
	d, err := s.decideAll(ctx, work)
	if err != nil {
		return err
	}
	if len(d.records) == 0 && d.open && !s.justRead {
		s.behind = true
		return s.round(ctx, work)
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

// prepare brings the state up to the store where it is known to be behind,
// and folds when the ring is full.
func (s *Shard) prepare(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if err := s.folder.finish(ctx, s.state, s.state.Full()); err != nil {
		return err
	}
	s.folder.begin(s.state, s.clock.Now())
	if s.state.Full() {
		return s.folder.finish(ctx, s.state, true)
	}
	return nil
}

// append writes the next batch. Any failure means that the state may be
// behind: by another entry's batch, or by this one if only its answer was
// lost. Then the slot is read, and an attempt finds its own claim in it.
func (s *Shard) append(ctx context.Context, records []Record) error {
	seq, over := s.state.Next()
	batch := Batch{Seq: seq, Records: records}
	s.pacer.wrote()
	version, err := s.store.Append(ctx, s.number, batch, over)
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

// catchUp loads the state, or reads the batches it lacks.
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
	if err := s.folder.settle(ctx); err != nil {
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

// current returns what the log says of key, reading a segment if need be.
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
		// Two keys share a fingerprint, and the older one's record may stand
		// in an older segment, or the segment has gone: nothing is granted.
		return Record{Key: key, Phase: PhaseInDoubt}, nil
	}
	return r, nil
}

// claimStateOpen reports whether a later batch may change the verdict.
func claimStateOpen(state request.ClaimState) bool {
	return state == request.ClaimInProgress || state == request.ClaimInDoubt
}
