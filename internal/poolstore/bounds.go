package poolstore

import (
	"time"

	"persimmonbay/internal/problem"
)

const (
	// maxMachines bounds the machines of a pool in a record.
	maxMachines = 1_000_000
	// maxWeight bounds what an entry can carry, in cores.
	maxWeight = 4096
)

// lastTime is after all times in records.
var lastTime = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// invalid returns the error of a record whose field no writer of this version writes.
func invalid(key, field string) error {
	return problem.New(problem.Internal, problem.StepStoreRead, key, field+": not what an entry writes")
}
