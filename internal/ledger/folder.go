package ledger

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
)

// maxDrops is how many expired segments are dropped with each fold.
const maxDrops = 2

// folder writes segments beside the committer, which alone calls its methods;
// the goroutine of write only touches the store and done.
type folder struct {
	shard    int
	store    LogStore
	counters *Counters
	done     chan folded // holds one result
	busy     bool
}

// begin starts the next fold unless one is under way or there is none.
func (f *folder) begin(state *State, now time.Time) {
	if f.busy {
		return
	}
	segment, ok := state.ToFold()
	if !ok {
		return
	}
	f.busy = true
	go f.write(segment, state.Expired(now, maxDrops))
}

func (f *folder) write(segment *Segment, expired []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeBudget)
	defer cancel()
	result := folded{index: segment.Index()}
	result.err = f.store.WriteSegment(ctx, f.shard, segment)
	for _, number := range expired {
		if err := f.store.DropSegment(ctx, f.shard, number); err == nil {
			result.dropped = append(result.dropped, number)
		}
	}
	f.done <- result
}

// finish takes over a result. With wait it waits for one if a fold is under
// way.
func (f *folder) finish(ctx context.Context, state *State, wait bool) error {
	if !f.busy {
		return nil
	}
	var result folded
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
	f.busy = false
	for _, number := range result.dropped {
		state.Drop(number)
	}
	if result.err != nil {
		return result.err
	}
	f.counters.add(countFolds)
	state.Fold(result.index)
	return nil
}

// settle waits for a fold under way, whose state is being given up.
func (f *folder) settle(ctx context.Context) error {
	if !f.busy {
		return nil
	}
	select {
	case <-f.done:
		f.busy = false
		return nil
	case <-ctx.Done():
		return problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", ctx.Err())
	}
}
