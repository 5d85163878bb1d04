package ledger

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
)

// maxDrops is the number of expired segments that each fold drops at most.
const maxDrops = 2

// segmentWriter folds batches into segments in a goroutine of its own, while the
// committer goes on. Only the committer calls its methods; the goroutine runs
// write, which uses only the store and done. running is set from the start of a
// fold until the committer receives its result.
type segmentWriter struct {
	shard    int
	store    LogStore
	counters *Counters
	done     chan foldResult // buffers one result
	running  bool
}

// start starts the next fold, unless one is running or there are too few
// batches.
func (f *segmentWriter) start(state *State, now time.Time) {
	if f.running {
		return
	}
	segment, ok := state.ToFold()
	if !ok {
		return
	}
	f.running = true
	go f.write(segment, state.Expired(now, maxDrops))
}

func (f *segmentWriter) write(segment *Segment, expired []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	result := foldResult{index: segment.Index()}
	result.err = f.store.WriteSegment(ctx, f.shard, segment)
	for _, number := range expired {
		if err := f.store.DropSegment(ctx, f.shard, number); err == nil {
			result.dropped = append(result.dropped, number)
		}
	}
	f.done <- result
}

// apply applies the result of a completed fold to state. With wait it waits for
// a running fold. It returns the error of the fold, or one of kind Timeout when
// ctx ends first.
func (f *segmentWriter) apply(ctx context.Context, state *State, wait bool) error {
	if !f.running {
		return nil
	}
	var result foldResult
	if wait {
		select {
		case result = <-f.done:
		case <-ctx.Done():
			return problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", ctx.Err())
		}
	} else {
		select {
		case result = <-f.done:
		default:
			return nil
		}
	}
	f.running = false
	for _, number := range result.dropped {
		state.RemoveSegment(number)
	}
	if result.err != nil {
		return result.err
	}
	f.counters.add(countFolds)
	state.Fold(result.index)
	return nil
}

// discard waits for a running fold and discards its result, because the state
// that it belongs to is being replaced.
func (f *segmentWriter) discard(ctx context.Context) error {
	if !f.running {
		return nil
	}
	select {
	case <-f.done:
		f.running = false
		return nil
	case <-ctx.Done():
		return problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", ctx.Err())
	}
}
