package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapTrace is all that happened.
type overlapTrace struct {
	began time.Time
	lines []overlapLine
}

// of returns what happened to the task, to its job, to the owners and to the
// machines on which it ran.
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
		mine := l.job == id.Job && (l.task == id || l.task == scheduler.TaskID{})
		if l.job == "" && !l.at.Before(first) {
			mine = l.incarnation == "" || machines[machineOf(l.incarnation)]
		}
		if mine {
			fmt.Fprintf(&b, "%9.3f %s\n", l.at.Sub(t.began).Seconds(), l.text)
		}
	}
	return b.String()
}

// machineOf returns the machine of an incarnation's name, "m0/w0#2".
func machineOf(life string) string {
	machine, _, _ := strings.Cut(life, "/")
	return machine
}
