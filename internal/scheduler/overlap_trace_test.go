package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapTrace is the trace of one simulation.
type overlapTrace struct {
	startedAt time.Time
	lines     []overlapTraceLine
}

// of returns the lines of the task and its job, and, from 2.5 s before the first of
// them on, those of the owners and of the machines on which the task ran.
func (t *overlapTrace) of(id scheduler.TaskID) string {
	machines := map[string]bool{}
	var first time.Time
	for _, l := range t.lines {
		if l.job == id.Job && (l.task == id || l.task == scheduler.TaskID{}) {
			if first.IsZero() {
				first = l.at.Add(-2500 * time.Millisecond)
			}
			if l.incarnation != "" {
				machines[machineOf(l.incarnation)] = true
			}
		}
	}
	var b strings.Builder
	for _, l := range t.lines {
		wanted := l.job == id.Job && (l.task == id || l.task == scheduler.TaskID{})
		if l.job == "" && !l.at.Before(first) {
			wanted = l.incarnation == "" || machines[machineOf(l.incarnation)]
		}
		if wanted {
			fmt.Fprintf(&b, "%9.3f %s\n", l.at.Sub(t.startedAt).Seconds(), l.text)
		}
	}
	return b.String()
}

// machineOf returns the machine of an incarnation's name, "m0/w0#2".
func machineOf(incarnation string) string {
	machine, _, _ := strings.Cut(incarnation, "/")
	return machine
}
