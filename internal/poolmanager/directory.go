package poolmanager

import (
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// Directory decodes the records by which workers register themselves in the store.
type Directory interface {
	// WorkersPrefix is the prefix of the workers' keys.
	WorkersPrefix() string
	// Worker decodes one record. It returns an error if the record names no usable
	// worker.
	Worker(item store.Item) (scheduler.WorkerInfo, error)
}
