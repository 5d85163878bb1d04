package intake

import (
	"context"

	"persimmonbay/internal/work"
	"persimmonbay/internal/workstore"
)

// Pending returns how many accepted jobs of a queue have not begun.
func (in *Intake) Pending(ctx context.Context, service, queue string) (int, error) {
	for {
		items, _, err := in.store.Range(ctx, workstore.StatePrefix(service))
		if err == nil {
			n := 0
			for _, item := range items {
				state, err := workstore.DecodeState(item.Key, item.Value)
				if err != nil {
					continue // the pool's owner tells of it; the others count
				}
				if state.Queue == queue && state.Progress.State == work.Queued {
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
