package main

import "time"

type ticket struct {
	step, runner string
	born         time.Time // of the life of the runner
	ends         time.Time
}
