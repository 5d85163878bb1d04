package poolstore

import (
	"time"

	"persimmonbay/internal/problem"
)

const (
	// maxMachines limits the number of machines of a pool.
	maxMachines = 1_000_000
	// maxWeight limits the capacity of an entry, in cores.
	maxWeight = 4096
)

// lastTime is the upper bound of times in records.
var lastTime = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// invalid returns the error for a record with a field that no entry of this version
// writes.
func invalid(key, field string) error {
	return problem.New(problem.Internal, problem.StepStoreRead, key, field+": invalid in the stored record")
}
