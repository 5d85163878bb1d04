package intake

import (
	"context"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// Pending returns the number of accepted jobs of a queue that have not started. The
// pool's owner knows it; if none answers, the progress of all jobs is read from the store.
func (in *Intake) Pending(ctx context.Context, service, queue string) (int, error) {
	if n, known := in.owners.Pending(ctx, service, queue); known {
		return n, nil
	}
	for {
		items, _, err := in.store.Range(ctx, poolstore.StatePrefix(service))
		if err == nil {
			return countPending(items, queue), nil
		}
		if !in.waitForRetry(ctx) {
			return 0, err
		}
	}
}

func countPending(items []store.Item, queue string) int {
	n := 0
	for _, item := range items {
		state, err := poolstore.DecodeState(item.Key, item.Value)
		if err != nil {
			continue // not counted; the pool's owner logs it
		}
		if state.Queue == queue && state.Progress.State == scheduler.Queued {
			n++
		}
	}
	return n
}
