package poolmanager

import (
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// panickingDirectory panics for each entry of the list of workers.
type panickingDirectory struct{ fakeDirectory }

// Worker panics.
func (panickingDirectory) Worker(store.Item) (scheduler.WorkerInfo, error) {
	panic("a worker that nobody expects")
}
