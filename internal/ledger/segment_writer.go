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
func (w *segmentWriter) start(state *State, now time.Time) {
	if w.running {
		return
	}
	segment, ok := state.NextSegment()
	if !ok {
		return
	}
	w.running = true
	go w.write(segment, state.Expired(now, maxDrops))
}

func (w *segmentWriter) write(segment *Segment, expired []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	result := foldResult{index: segment.Index()}
	result.err = w.store.WriteSegment(ctx, w.shard, segment)
	for _, number := range expired {
		if err := w.store.DropSegment(ctx, w.shard, number); err == nil {
			result.dropped = append(result.dropped, number)
		}
	}
	w.done <- result
}

// apply applies the result of a completed fold to state. With wait it waits for
// a running fold. It returns the error of the fold, or one of kind Timeout when
// ctx ends first.
func (w *segmentWriter) apply(ctx context.Context, state *State, wait bool) error {
	if !w.running {
		return nil
	}
	var result foldResult
	if wait {
		select {
		case result = <-w.done:
		case <-ctx.Done():
			return problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", context.Cause(ctx))
		}
	} else {
		select {
		case result = <-w.done:
		default:
			return nil
		}
	}
	w.running = false
	for _, number := range result.dropped {
		state.RemoveSegment(number)
	}
	if result.err != nil {
		return result.err
	}
	w.counters.add(countFolds)
	state.MarkFolded(result.index)
	return nil
}

// discard waits for a running fold and discards its result, because the state
// that it belongs to is being replaced.
func (w *segmentWriter) discard(ctx context.Context) error {
	if !w.running {
		return nil
	}
	select {
	case <-w.done:
		w.running = false
		return nil
	case <-ctx.Done():
		return problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", context.Cause(ctx))
	}
}
