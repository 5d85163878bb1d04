package main

import (
	"time"
)

// stepInfo is a step of a job, as its client sent it.
type stepInfo struct {
	count         int
	need          amounts
	work          time.Duration
	after         []int
	gang          bool
	label         string
	antiAffinity  int
	checkpointing bool
	lasts         bool
	fills         bool
	mayMiss       int
	failShare     float64 // of its runs
}
