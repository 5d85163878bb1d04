package ledger

import (
	"context"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// decisions holds the replies to a group of operations. The replies are valid
// only once records are written.
type decisions struct {
	results     []Reply
	records     []Record
	provisional bool // a batch of another entry may change a verdict
}

// decideAll decides the operations of work in order. Each sees the effects of
// those before it.
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
		d.provisional = d.provisional || isProvisional(verdict.State)
		if write {
			changed[p.operation.Key] = verdict.Record
			d.records = append(d.records, verdict.Record)
		}
	}
	return d, nil
}

// admit rejects a claim with an error of kind Invalid when its key has expired,
// since its record may have been dropped, and with one of kind Overloaded when
// the state of the shard has MaxKeys keys. added is the number of keys that the
// batch adds.
func (s *Shard) admit(operation Record, now time.Time, added int) error {
	if operation.Phase != PhaseClaimed {
		return nil
	}
	if now.After(keyCreatedAt(operation.Key).Add(request.KeyRetention)) {
		return problem.New(problem.Invalid, problem.StepClaim, "", "Idempotency-Key: it has expired")
	}
	if s.state.KeyCount()+added >= s.options.MaxKeys {
		return problem.New(problem.Overloaded, problem.StepClaim, "", "the ledger is full; this attempt did not run")
	}
	return nil
}
