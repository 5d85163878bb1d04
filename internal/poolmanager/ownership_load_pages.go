package poolmanager

import (
	"context"
	"sort"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
)

// readWork goes on with the read of the pool's jobs and states, until a page of them
// fails. While a page of jobs is read, a page of the states of jobs that are there already
// is read beside it: a state that is missing then was deleted after its job's end.
func (o *poolOwnership) readWork(ctx context.Context) error {
	p := &o.loading
	if p.jobs == nil {
		p.jobs = &rangeRead{prefix: poolstore.JobsPrefix(o.service)}
		p.states = &rangeRead{prefix: poolstore.StatePrefix(o.service)}
	}
	for !p.jobs.complete {
		if err := o.readJobsPage(ctx); err != nil {
			return err
		}
	}
	if !o.ownsAll(p.jobs.items) {
		return problem.New(problem.Conflict, problem.StepStoreRead, o.service, "the pool has a later owner")
	}
	p.states.last = ""
	return p.states.finish(ctx, o.Store)
}

// readJobsPage reads a page of jobs, and beside it one of states if these are behind by a
// page: a page of states beyond the jobs would have to be read again.
func (o *poolOwnership) readJobsPage(ctx context.Context) error {
	p := &o.loading
	last, behind := o.statesBehind()
	if behind == 0 || behind < max(p.jobs.largest, p.states.largest) {
		return p.jobs.readPage(ctx, o.Store)
	}
	p.states.last = last
	statesErr := error(problem.New(problem.Internal, problem.StepStoreRead, o.service, "the read of states ended with an unexpected error"))
	done := make(chan struct{})
	o.spawn(func() {
		defer close(done)
		statesErr = p.states.readPage(ctx, o.Store)
	})
	err := p.jobs.readPage(ctx, o.Store)
	<-done
	if err != nil {
		return err
	}
	return statesErr
}

// statesBehind returns the key of the state of the last job that was read, and how many
// jobs have been read whose states have not.
func (o *poolOwnership) statesBehind() (last string, behind int) {
	p := &o.loading
	id, ok := poolstore.ParseJob(o.service, p.jobs.after)
	if !ok {
		return "", 0
	}
	begin := poolstore.JobKey(o.service, "")
	if read, ok := poolstore.ParseState(o.service, p.states.after); ok {
		begin = poolstore.JobKey(o.service, read)
	}
	jobs := p.jobs.items
	return poolstore.StateKey(o.service, id), len(jobs) - sort.Search(len(jobs), func(i int) bool { return jobs[i].Key > begin })
}
