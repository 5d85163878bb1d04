package intake

import (
	"context"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

// Pending returns the number of accepted jobs of a queue that have not started.
func (in *Intake) Pending(ctx context.Context, service, queue string) (int, error) {
	for {
		items, _, err := in.store.Range(ctx, poolstore.StatePrefix(service))
		if err == nil {
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
			return n, nil
		}
		if !in.waitForRetry(ctx) {
			return 0, err
		}
	}
}
