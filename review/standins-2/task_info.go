package main

import (
	"fmt"
	"time"
)

// taskInfo is a task of one occurrence.
type taskInfo struct {
	job                *jobInfo
	step               *stepInfo
	name               string
	k, stepIndex, task int
	started            int
	live               []*taskRun
	doneAt             time.Time // its first end done
	doneEnds           []*taskEnd
	failedNoted        int
	lastEnd            time.Time
	startsAfterDone    []lateStart
	awaySince          time.Time // since when it is not at work; zero: it is at work
	endedByOrder       bool      // an order of the system ended its last run
}

func (t *taskInfo) stepName() string { return fmt.Sprintf("%s.%d.%d", t.job.id, t.k, t.stepIndex) }

// checkpointName is the part of a checkpoint that names its task, or its gang.
func (t *taskInfo) checkpointName() string {
	if t.step.gang {
		return t.stepName()
	}
	return t.name
}

func (t *taskInfo) need() amounts {
	n := t.step.need
	if t.step.fills {
		n.cpu = 0
	}
	return n
}
