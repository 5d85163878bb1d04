package main

import (
	"fmt"
	"time"
)

// taskRun is a run on a runner.
type taskRun struct {
	r          *runner
	task       string
	attempt    int64
	t          *taskInfo
	began      time.Time
	worked     time.Duration // before this run, from the checkpoint
	working    time.Time     // since when it works; zero: waits for its gang
	checkpoint string
	percent    int64
	stopping   bool
}

// saved returns the run's last checkpoint.
func (x *taskRun) saved() string {
	if !x.t.step.checkpointing || x.working.IsZero() {
		return x.checkpoint
	}
	n := (x.worked + time.Since(x.working)) / saveEvery
	if n == 0 {
		return x.checkpoint
	}
	return fmt.Sprintf("%s:%d", x.t.checkpointName(), n)
}
