package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Job is all that is kept of one job.
type Job struct {
	ID         string          `json:"id"`
	Team       string          `json:"team"`
	Name       string          `json:"name"` // jobs of one team and name are taken to be alike
	Class      fleet.Class     `json:"class"`
	Size       fleet.Resources `json:"size"`               // as declared
	RunTime    time.Duration   `json:"runTime"`            // as declared; zero: not told
	Deadline   time.Time       `json:"deadline,omitzero"`  // by which it must have finished; zero: none
	Repeatable bool            `json:"repeatable"`         // a second start does no harm
	Work       string          `json:"work"`               // what to run, in the worker's own terms
	By         string          `json:"by,omitempty"`       // the operator who submitted it
	Submitted  time.Time       `json:"submitted"`          //
	Phase      Phase           `json:"phase"`              //
	Since      time.Time       `json:"since"`              // of Phase
	Attempt    Attempt         `json:"attempt,omitzero"`   // the latest; zero: never placed
	ResumeFrom string          `json:"resume,omitempty"`   // the task whose checkpoint the next attempt goes on from
	Throttled  bool            `json:"throttled,omitzero"` // its task is to use a part of its processors only
	Peak       fleet.Resources `json:"peak,omitzero"`      // the most that an attempt was reported to use
	Ran        time.Duration   `json:"ran,omitzero"`       // of the attempt that finished
	Failures   []Failure       `json:"failures,omitempty"` // the latest, oldest first
	Detail     string          `json:"detail,omitempty"`   // why it is in its phase
}

// maxFailures bounds the failures kept of one job.
const maxFailures = 8

// kind names the jobs that are taken to be alike.
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

// enter returns j in another phase since now.
func (j Job) enter(phase Phase, now time.Time, detail string) Job {
	j.Phase, j.Since, j.Detail = phase, now, detail
	return j
}

// failed returns j with one failure more.
func (j Job) failed(now time.Time) Job {
	kept := j.Failures[max(0, len(j.Failures)-maxFailures+1):]
	j.Failures = append(append([]Failure(nil), kept...), Failure{Worker: j.Attempt.Worker, At: now})
	return j
}
