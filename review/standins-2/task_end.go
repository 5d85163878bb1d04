package main

import (
	"time"
)

// taskEnd is an end that a runner lists until it is taken note of.
type taskEnd struct {
	n       int64
	task    string
	attempt int64
	how     string
	saved   string
	at      time.Time
	noted   bool // it was taken note of
	lapsed  bool // the lease lapsed between the end and its being taken note of
	run     *taskRun
}
