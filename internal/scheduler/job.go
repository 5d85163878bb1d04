package scheduler

import "time"

// job is a job whose course is not over. The pool's lock guards it.
type job struct {
	sub            *Submission
	created        int64 // store revision at which it was accepted
	revision       int64 // store revision of the progress that was last saved
	progress       Progress
	occurrences    []*occurrence // those that are due or were due
	ended          int           // occurrences that are complete
	offsets        []int         // flat number of each step's first task in an occurrence
	runs           int           // runs that may go on on a worker
	firstAttempt   int           // attempts up to it may have been used by earlier owners
	dirtyFrom      int64         // sequence of the oldest change that is not saved; 0: none
	dirtyTo        int64         // sequence of the newest one
	saving         bool          // a batch with its progress is on its way
	urgentSave     bool          // callers wait for the change to be saved
	forget         bool          // the submission is removed
	removeWhenIdle bool          // the course is over and saved; the submission goes once nothing runs
	endSaved       bool          // that the course is over is saved
	endedAt        time.Time
	rank           rank
	weighedAt      time.Time     // when the next three were worked out; zero: its progress changed
	chainLeft      time.Duration // how long the longest chain of what is left takes
	workLeft       float64       // core-seconds
	allowed        time.Duration // by its objective
}

func newJob(sub *Submission, created, revision int64, progress Progress) *job {
	j := &job{sub: sub, created: created, revision: revision, progress: progress}
	offset := 0
	for i := range sub.Steps {
		j.offsets = append(j.offsets, offset)
		offset += sub.Steps[i].Count
	}
	return j
}

// flat returns the number of a task within the whole job.
func (j *job) flat(occurrence, step, index int) int {
	return occurrence*j.sub.TaskCount() + j.offsets[step] + index
}

// open adds the next occurrence, with what is known to be done of it.
func (j *job) open() *occurrence {
	k := len(j.occurrences)
	o := &occurrence{due: j.sub.DueAt(k)}
	for s := range j.sub.Steps {
		o.stages = append(o.stages, j.newStage(k, s))
		if o.stages[s].left > 0 {
			o.left++
		}
	}
	if o.left == 0 {
		j.ended++
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

func (j *job) newStage(k, s int) *stage {
	step := &j.sub.Steps[s]
	st := &stage{job: j, step: step, index: s, occurrence: k}
	for i := range step.Count {
		t := &task{id: TaskID{j.sub.ID, k, s, i}, flat: j.flat(k, s, i), stage: st}
		t.done = j.progress.isDone(t.flat)
		t.attempt = j.firstAttempt
		if !t.done {
			st.left++
		}
		st.tasks = append(st.tasks, t)
	}
	return st
}

// task returns the task named, or nil.
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

// reserved returns what a task of the step takes from a worker's capacity.
func (j *job) reserved(step int) Resources {
	if step < 0 || step >= len(j.sub.Steps) {
		return Resources{}
	}
	return j.sub.Steps[step].reserved()
}

// complete reports whether every occurrence is complete.
func (j *job) complete() bool { return j.ended >= j.sub.Occurrences() }
