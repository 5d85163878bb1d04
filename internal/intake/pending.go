package intake

import (
	"context"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

// Pending returns how many accepted jobs of a queue have not begun.
func (in *Intake) Pending(ctx context.Context, service, queue string) (int, error) {
	for {
		items, _, err := in.store.Range(ctx, poolstore.StatePrefix(service))
		if err == nil {
			n := 0
			for _, item := range items {
				state, err := poolstore.DecodeState(item.Key, item.Value)
				if err != nil {
					continue // the pool's owner tells of it; the others count
				}
				if state.Queue == queue && state.Progress.State == scheduler.Queued {
					n++
				}
			}
			return n, nil
		}
		if !in.pause(ctx) {
			return 0, err
		}
	}
}
