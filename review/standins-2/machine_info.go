package main

// machineInfo is a machine of the cloud.
type machineInfo struct {
	id, pool, state, kind, rack string
	capacity                    amounts
	guards                      map[string]bool // by pool
	runner                      *runner         // nil: none
	done                        map[int64]bool  // waves whose upkeep is done or under way
}
