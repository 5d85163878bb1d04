package poolmanager

import (
	"strings"

	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// listedWorkers is a Directory that lists a worker of the scene's pool, on a machine of
// its own, for each key under its prefix.
type listedWorkers struct{}

var _ Directory = listedWorkers{}

func (listedWorkers) WorkersPrefix() string { return "workers/" }

func (d listedWorkers) Worker(item store.Item) (scheduler.WorkerInfo, error) {
	id := strings.TrimPrefix(item.Key, d.WorkersPrefix())
	return scheduler.WorkerInfo{
		ID: id, Service: sceneService, Address: id + ":1", Machine: "m-" + id, Incarnation: 1,
		Capacity: scheduler.Resources{MilliCPU: 32000, MemoryMB: 131072},
	}, nil
}
