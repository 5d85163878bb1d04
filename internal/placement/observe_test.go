package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/placement"
)

var _ = Describe("a job that must not be repeated", func() {
	It("gets a second task only when no earlier one ever started, and never once it is cancelled", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			j := job("j", "t", fleet.Normal, cores(1))
			j.Repeatable = false
			mayHaveRun, cancelled := false, false
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					changed, started := j.Start("w", now)
					if started && (mayHaveRun || cancelled) {
						t.Fatalf("started again: %+v", changed)
					}
					j = changed
				case 1:
					j, _ = j.Preempt(placement.Preemption{Method: placement.PreemptionMethod(rapid.IntRange(0, 1).Draw(t, "way"))}, now)
				case 2:
					if changed, err := j.Cancel("amal", now); err == nil {
						j, cancelled = changed, true
					}
				default:
					states := []fleet.TaskState{fleet.TaskRunning, fleet.TaskFinished, fleet.TaskFailed, fleet.TaskCheckpointed, fleet.TaskStopped, fleet.TaskNeverRan, fleet.TaskLost}
					state := rapid.SampledFrom(states).Draw(t, "state")
					if state == fleet.TaskNeverRan && j.Phase == placement.Running {
						continue // the platform never reports this after it has reported the task as running
					}
					if j.Phase.Placed() && state != fleet.TaskNeverRan {
						mayHaveRun = true
					}
					j, _ = j.Observe(placement.Observation{Task: j.Attempt.Task, State: state}, now)
				}
			}
		})
	})
})
