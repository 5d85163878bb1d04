package main

import "time"

type taskRun struct {
	task    string
	attempt int64
	cpu     int64
	began   time.Time
	lasts   time.Duration
	ends    time.Time // zero: it waits for the other members of its gang
	stops   time.Time
}
