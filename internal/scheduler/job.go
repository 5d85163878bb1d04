package scheduler

import (
	"time"

	"persimmonbay/internal/teams"
)

// job is a job that the pool has not removed yet: it has not ended, its end is not
// saved, or some of its runs may go on. The pool's lock guards it.
type job struct {
	sub               *Submission
	lasting           bool // some step runs until the job is cancelled
	due               int  // number of occurrences in all
	priority          int
	countsFrom        time.Time // its acceptance, or when its last open occurrence became due: its objective counts from then
	created           int64     // store revision at which it was accepted
	revision          int64     // store revision at which its progress was last saved
	progress          Progress
	occurrences       []*occurrence // those that have become due
	ended             int           // number of occurrences that are complete
	offsets           []int         // number of each step's first task within an occurrence
	activeRuns        int           // runs of its tasks that go on, or may go on, on workers
	firstAttempt      int           // former owners may have used attempts up to it
	dirtyFrom         int64         // sequence number of the oldest unsaved change; 0: none
	dirtyTo           int64         // sequence number of the newest unsaved change
	saving            bool          // a write of its progress is in progress
	urgentSave        bool          // callers wait for the unsaved changes
	submissionRemoved bool          // its submission was removed from the store
	removeWhenIdle    bool          // its end is saved; its submission is to be removed once it has no runs
	endSaved          bool          // its end is saved
	endedAt           time.Time
	account           *teams.Account // of its team; nil: it has no share
	beyond            bool           // its team had sent more than its weight when it was accepted
	number            int64          // in the order in which the pool's jobs were added
	rank              rank
	estimatedAt       time.Time     // when the next three were computed; zero: they are outdated by progress
	remainingChain    time.Duration // duration of the longest chain of incomplete steps
	remainingWork     float64       // core-seconds
	objectiveTime     time.Duration // time that its objective allows
}

func newJob(sub *Submission, created, revision int64, progress Progress) *job {
	j := &job{sub: sub, lasting: sub.LongRunning(), due: sub.Occurrences(), priority: sub.Priority, countsFrom: Later(sub.AcceptedAt, sub.DueAt(0)), created: created, revision: revision, progress: progress}
	j.rank.accepted = sub.AcceptedAt
	offset := 0
	for i := range sub.Steps {
		j.offsets = append(j.offsets, offset)
		offset += sub.Steps[i].Count
	}
	return j
}

// flat returns the number of a task within the whole job, counted from 0.
func (j *job) flat(occurrence, step, index int) int {
	return occurrence*j.sub.TaskCount() + j.offsets[step] + index
}

// openOccurrence adds the next occurrence. It marks the tasks as done that the job's
// progress has as done.
func (j *job) openOccurrence() *occurrence {
	k := len(j.occurrences)
	o := &occurrence{due: j.sub.DueAt(k)}
	for s := range j.sub.Steps {
		o.stages = append(o.stages, j.newStage(k, s))
		if o.stages[s].incomplete > 0 {
			o.incompleteStages++
		}
	}
	if o.incompleteStages == 0 {
		j.ended++
	}
	j.occurrences = append(j.occurrences, o)
	j.countsFrom = Later(j.sub.AcceptedAt, o.due)
	return o
}

func (j *job) newStage(k, s int) *stage {
	step := &j.sub.Steps[s]
	st := &stage{job: j, step: step, index: s, occurrence: k, tasks: make([]*task, step.Count)}
	tasks := make([]task, step.Count) // beside each other, as each plan looks at them
	for i := range tasks {
		t := &tasks[i]
		*t = task{id: TaskID{j.sub.ID, k, s, i}, flat: j.flat(k, s, i), stage: st}
		t.done = j.progress.isDone(t.flat)
		t.attempt = j.firstAttempt
		if !t.done {
			st.incomplete++
		}
		st.tasks[i] = t
	}
	return st
}

// task returns the task with the given ID, or nil.
func (j *job) task(id TaskID) *task {
	if id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	stages := j.occurrences[id.Occurrence].stages
	if id.Step < 0 || id.Step >= len(stages) || id.Index < 0 || id.Index >= len(stages[id.Step].tasks) {
		return nil
	}
	return stages[id.Step].tasks[id.Index]
}

// reserved returns the part of a worker's capacity that a task of the step takes, and
// nothing if the job has no such step.
func (j *job) reserved(step int) Resources {
	if step < 0 || step >= len(j.sub.Steps) {
		return Resources{}
	}
	return j.sub.Steps[step].reserved()
}

// complete reports whether every occurrence is complete.
func (j *job) complete() bool { return j.ended >= j.due }
