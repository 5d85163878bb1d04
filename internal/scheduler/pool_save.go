package scheduler

import (
	"cmp"
	"slices"
)

// ClaimUnsaved returns at most limit jobs whose progress has to be saved, those with
// the oldest changes first, and whether callers wait for one of them. A job is not
// returned again until Saved or SaveFailed names it.
func (p *Pool) ClaimUnsaved(limit int) (items []SaveItem, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.oldestUnsaved(limit) {
		j.saving = true
		urgent = urgent || j.urgentSave
		items = append(items, SaveItem{
			Job: j.sub.ID, Queue: j.sub.Queue, Team: j.sub.Team, Revision: j.revision, Progress: j.progress.clone(), AcceptedAt: j.sub.AcceptedAt, EndedAt: j.endedAt, EndSaved: j.endSaved,
			Remove: j.progress.State.Final() && j.activeRuns == 0, upTo: j.dirtyTo,
		})
	}
	return items, urgent
}

// oldestUnsaved returns at most limit jobs with changes that are not claimed, those with
// the oldest ones first. It is called for each batch of a backlog, so it does not sort
// the whole of it.
func (p *Pool) oldestUnsaved(limit int) []*job {
	oldest := make([]*job, 0, limit+1)
	for j := range p.unsavedJobs {
		if j.saving || len(oldest) == limit && j.compareUnsaved(oldest[limit-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(oldest, j, (*job).compareUnsaved)
		oldest = slices.Insert(oldest, at, j)
		oldest = oldest[:min(limit, len(oldest))]
	}
	return oldest
}

// compareUnsaved orders jobs by their oldest unsaved changes.
func (j *job) compareUnsaved(o *job) int {
	return cmp.Or(cmp.Compare(j.dirtyFrom, o.dirtyFrom), cmp.Compare(j.sub.ID, o.sub.ID))
}

// SavePending reports whether there is progress to save that is not claimed, and
// whether callers wait for it.
func (p *Pool) SavePending() (pending, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for j := range p.unsavedJobs {
		if !j.saving {
			pending = true
			urgent = urgent || j.urgentSave
		}
	}
	return pending, urgent
}

// Saved records that the items were saved at the given store revision. It returns the
// workers of which more ends may be acknowledged now.
func (p *Pool) Saved(items []SaveItem, revision int64) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range items {
		j := p.jobs[items[i].Job]
		if j == nil {
			continue
		}
		j.saving = false
		j.revision = revision
		p.markSaved(j, &items[i])
		p.applySave(j, &items[i])
	}
	return p.advanceAckable()
}

// markSaved records that the changes which item holds are saved.
func (p *Pool) markSaved(j *job, item *SaveItem) {
	if j.dirtyTo <= item.upTo {
		j.dirtyFrom, j.dirtyTo, j.urgentSave = 0, 0, false
		delete(p.unsavedJobs, j)
		return
	}
	j.dirtyFrom = item.upTo + 1
}

// applySave records that the progress in item is saved; the job may have gone on since.
// If the job's end is saved and the write did not remove the submission, because runs
// were left, removeEndedJobs has it removed later.
func (p *Pool) applySave(j *job, item *SaveItem) {
	j.endSaved = j.endSaved || item.Progress.State.Final()
	if item.Remove {
		j.submissionRemoved = true
		return
	}
	j.removeWhenIdle = j.endSaved
}

// SaveFailed records that the items were not saved.
func (p *Pool) SaveFailed(items []SaveItem) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range items {
		if j := p.jobs[items[i].Job]; j != nil {
			j.saving = false
		}
	}
}

// SaveConflicted records that another writer changed the saved progress of a job. saved
// is what the store has at revision. If that state is final, the job ends with it.
func (p *Pool) SaveConflicted(id string, revision int64, saved Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j == nil {
		return
	}
	j.revision = revision
	if saved.State.Final() && !j.progress.State.Final() {
		p.counts.Cancelled++
	}
	if saved.State.Final() {
		j.progress.State = saved.State
		j.endSaved, j.endedAt = true, p.wallTime
		p.stopRuns(j)
	}
}

// advanceAckable advances, for each worker, up to which number its ends may be
// acknowledged: all changes that they made have to be saved. It returns the workers for
// which it did so.
func (p *Pool) advanceAckable() []string {
	savedUpTo := p.changeSequence
	for j := range p.unsavedJobs {
		savedUpTo = min(savedUpTo, j.dirtyFrom-1)
	}
	var advanced []string
	for w := range p.unackedWorkers {
		before := w.ackableEnds
		for len(w.endMarks) > 0 && w.endMarks[0].changeSequence <= savedUpTo {
			w.ackableEnds = w.endMarks[0].endNumber
			w.endMarks = w.endMarks[1:]
		}
		if len(w.endMarks) == 0 {
			delete(p.unackedWorkers, w)
		}
		if w.ackableEnds > before {
			w.dropSavedEnds()
			advanced = append(advanced, w.info.ID)
		}
	}
	return advanced
}
