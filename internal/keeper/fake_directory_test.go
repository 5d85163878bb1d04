package keeper

import (
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/work"
)

// fakeDirectory lists no workers.
type fakeDirectory struct{}

var _ Directory = fakeDirectory{}

func (fakeDirectory) WorkersPrefix() string { return "workers/" }

func (fakeDirectory) Worker(item store.Item) (work.WorkerInfo, error) {
	return work.WorkerInfo{}, problem.New(problem.Invalid, problem.StepStoreRead, item.Key, "no worker")
}
