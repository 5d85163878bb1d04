package ledger

import (
	"context"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// decisions are the results of a round's operations, to be given out once
// records are written.
type decisions struct {
	results []Reply
	records []Record
	open    bool // a later batch may change a verdict
}

// decideAll decides work in order, each operation on what those before it
// left.
func (s *Shard) decideAll(ctx context.Context, work []*pending) (decisions, error) {
	d := decisions{results: make([]Reply, len(work))}
	changed := make(map[uuid.UUID]Record)
	read := make(map[uint64]*Segment)
	now := s.clock.Now()
	for i, p := range work {
		if err := s.admit(p.operation, now, len(changed)); err != nil {
			d.results[i].Err = err
			continue
		}
		current, ok := changed[p.operation.Key]
		if !ok {
			var err error
			if current, err = s.current(ctx, p.operation.Key, read); err != nil {
				return d, err
			}
		}
		verdict, write := decide(current, p.operation, now)
		d.results[i].Verdict = verdict
		d.open = d.open || claimStateOpen(verdict.State)
		if write {
			changed[p.operation.Key] = verdict.Record
			d.records = append(d.records, verdict.Record)
		}
	}
	return d, nil
}

// admit refuses claims whose key may have been forgotten by now and those for
// which there is no room.
func (s *Shard) admit(operation Record, now time.Time, added int) error {
	if operation.Phase != PhaseClaimed {
		return nil
	}
	if now.After(keyMade(operation.Key).Add(request.KeyRetention)) {
		return problem.New(problem.Invalid, problem.StepClaim, "", "Idempotency-Key: it has expired")
	}
	if s.state.Keys()+added >= s.options.MaxKeys {
		return problem.New(problem.Overloaded, problem.StepClaim, "", "the ledger is full; this attempt did not run")
	}
	return nil
}
