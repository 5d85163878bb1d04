package scheduler_test

import (
	"fmt"

	"persimmonbay/internal/scheduler"
)

// overlapStore is the store that all owners share.
type overlapStore struct {
	revision       int64
	owner          int64 // token of the owner; 0: none
	jobs           map[string]*overlapJob
	jobIDs         []string // in the order of their acceptance
	ownerRevisions []int64  // tokens of all owners: the store revisions at which they acquired the pool
	roster         scheduler.WorkerRoster
	rosterRevision int64
	workers        map[string]scheduler.WorkerInfo
	onSaved        func(scheduler.SaveItem) // called for each progress that is saved
}

func newOverlapStore() *overlapStore {
	return &overlapStore{revision: 1, jobs: map[string]*overlapJob{}, workers: map[string]scheduler.WorkerInfo{}}
}

// accept stores a new job.
func (s *overlapStore) accept(sub scheduler.Submission) *overlapJob {
	s.revision++
	j := &overlapJob{sub: sub, created: s.revision, revision: s.revision, owner: s.owner}
	s.jobs[sub.ID] = j
	s.jobIDs = append(s.jobIDs, sub.ID)
	return j
}

// saveProgress writes progress if token is the owner's and no job's revision has changed.
// It returns the new store revision, and whether the write was committed.
func (s *overlapStore) saveProgress(token int64, items []scheduler.SaveItem) (int64, bool) {
	if s.owner != token {
		return 0, false
	}
	for i := range items {
		if s.jobs[items[i].Job].revision != items[i].Revision {
			return 0, false
		}
	}
	s.revision++
	for i := range items {
		j := s.jobs[items[i].Job]
		j.progress, j.revision = items[i].Progress, s.revision
		j.removed = j.removed || items[i].Remove
		s.onSaved(items[i])
	}
	return s.revision, true
}

// saveRoster writes the roster if token is the owner's and the roster's revision is the
// expected one. If release is set, it ends the ownership with the same write.
func (s *overlapStore) saveRoster(token, expected int64, r scheduler.WorkerRoster, release bool) bool {
	if s.owner != token || s.rosterRevision != expected {
		return false
	}
	s.revision++
	s.roster, s.rosterRevision = r, s.revision
	if release {
		s.owner = 0
	}
	return true
}

// acquire makes the next store revision the owner's token, if expected is the present
// owner's.
func (s *overlapStore) acquire(expected int64) (int64, bool) {
	if s.owner != expected {
		return 0, false
	}
	s.revision++
	s.owner = s.revision
	s.ownerRevisions = append(s.ownerRevisions, s.owner)
	return s.owner, true
}

// ownerChanged reports whether the pool's owner changed after token, up to a store
// revision. An owner that watches the pool's work reads that change before the jobs that
// were accepted after it.
func (s *overlapStore) ownerChanged(token, revision int64) bool {
	for _, o := range s.ownerRevisions {
		if o > token && o <= revision {
			return true
		}
	}
	return false
}

// encoded returns progress in a form that can be compared.
func encoded(p scheduler.Progress) string { return fmt.Sprint(p) }
