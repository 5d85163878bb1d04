package main

import "time"

type machine struct {
	id, pool, state, rack string
	runner                *runner
	movedAt               time.Time // when its last move was ordered
	upkeepOf              int64     // the last wave of which it had its upkeep
}
