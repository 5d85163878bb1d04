package poolmanager

import (
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// Directory reads what workers write of themselves into the store.
type Directory interface {
	// WorkersPrefix is the prefix of the workers' keys.
	WorkersPrefix() string
	// Worker reads one entry; an error tells that it names no worker to use.
	Worker(item store.Item) (scheduler.WorkerInfo, error)
}
