package poolmanager

import (
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// fakeDirectory is a Directory without workers.
type fakeDirectory struct{}

var _ Directory = fakeDirectory{}

func (fakeDirectory) WorkersPrefix() string { return "workers/" }

func (fakeDirectory) Worker(item store.Item) (scheduler.WorkerInfo, error) {
	return scheduler.WorkerInfo{}, problem.New(problem.Invalid, problem.StepStoreRead, item.Key, "no worker")
}
