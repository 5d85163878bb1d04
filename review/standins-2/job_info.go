package main

import (
	"time"
)

// jobInfo is a job, as its client sent it, and what has become of it.
type jobInfo struct {
	id, spec    string
	prefix      string
	service     string
	steps       []stepInfo
	startAt     time.Time
	repeat      int
	interval    time.Duration
	maxFailures int
	advised     bool
	hopeless    bool
	sentAt      time.Time
	acceptedAt  time.Time // zero: not accepted
	rejected    bool      // every try was refused
	cancelledAt time.Time // acknowledged; zero: not
	cancelTried bool
	shown       string // the last state shown
	doneSeenAt  time.Time
	tasks       map[string]*taskInfo
}

func (j *jobInfo) due(k int) time.Time {
	if j.startAt.IsZero() {
		return time.Time{}
	}
	return j.startAt.Add(time.Duration(k) * j.interval)
}
