package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Job is the stored state of one job: its submission, its phase and its latest
// attempt.
type Job struct {
	ID         string          `json:"id"`
	Team       string          `json:"team"`
	Name       string          `json:"name"` // jobs of one team and name are assumed to need the same resources
	Class      fleet.Class     `json:"class"`
	Size       fleet.Resources `json:"size"`               // as declared
	RunTime    time.Duration   `json:"runTime"`            // as declared; zero: not declared
	Deadline   time.Time       `json:"deadline,omitzero"`  // by which it must have finished; zero: none
	Repeatable bool            `json:"repeatable"`         // the job may be started more than once
	Work       string          `json:"work"`               // what to run, in a format that only the worker interprets
	By         string          `json:"by,omitempty"`       // the operator who submitted it
	Submitted  time.Time       `json:"submitted"`          // when an entry first accepted it
	Phase      Phase           `json:"phase"`              // the present one
	Since      time.Time       `json:"since"`              // start of Phase
	Attempt    Attempt         `json:"attempt,omitzero"`   // the latest; zero: never placed
	ResumeFrom string          `json:"resume,omitempty"`   // the task from whose checkpoint the next attempt resumes
	Throttled  bool            `json:"throttled,omitzero"` // its task is limited to ThrottledPercent of its processors
	Peak       fleet.Resources `json:"peak,omitzero"`      // the maximum that any attempt was reported to use
	Ran        time.Duration   `json:"ran,omitzero"`       // of the attempt that finished
	Failures   []Failure       `json:"failures,omitempty"` // at most the latest maxFailures, oldest first
	Detail     string          `json:"detail,omitempty"`   // why it is in its phase
}

// maxFailures bounds the failures stored for one job.
const maxFailures = 8

// kind returns the kind of j.
func (j *Job) kind() Kind { return Kind{Team: j.Team, Name: j.Name} }

// failedOn reports whether a task of j failed on the worker.
func (j *Job) failedOn(worker string) bool {
	for _, f := range j.Failures {
		if f.Worker == worker {
			return true
		}
	}
	return false
}

// enter returns j in the given phase, entered at now.
func (j Job) enter(phase Phase, now time.Time, detail string) Job {
	j.Phase, j.Since, j.Detail = phase, now, detail
	return j
}

// withFailure returns j with a failure of its latest attempt added, without
// the oldest failures beyond maxFailures.
func (j Job) withFailure(now time.Time) Job {
	recent := j.Failures[max(0, len(j.Failures)-maxFailures+1):]
	j.Failures = append(append([]Failure(nil), recent...), Failure{Worker: j.Attempt.Worker, At: now})
	return j
}
