package scheduler_test

import (
	"fmt"

	"persimmonbay/internal/scheduler"
)

// overlapStore keeps what the owners share.
type overlapStore struct {
	revision       int64
	owner          int64 // revision of the ownership; 0: nobody has it
	jobs           map[string]*overlapJob
	order          []string
	owners         []int64 // all revisions of the ownership
	roster         scheduler.WorkerRoster
	rosterRevision int64
	workers        map[string]scheduler.WorkerInfo
	saved          func(scheduler.SaveItem) // called for each progress that is kept
}

func newOverlapStore() *overlapStore {
	return &overlapStore{revision: 1, jobs: map[string]*overlapJob{}, workers: map[string]scheduler.WorkerInfo{}}
}

func (s *overlapStore) accept(sub scheduler.Submission) *overlapJob {
	s.revision++
	j := &overlapJob{sub: sub, created: s.revision, revision: s.revision, owner: s.owner}
	s.jobs[sub.ID] = j
	s.order = append(s.order, sub.ID)
	return j
}

// keep writes progress while token is the owner's and all revisions hold.
func (s *overlapStore) keep(token int64, items []scheduler.SaveItem) (int64, bool) {
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
		s.saved(items[i])
	}
	return s.revision, true
}

// keepRoster writes the roster while token is the owner's and the roster is at
// the revision expected; last gives the ownership away with it.
func (s *overlapStore) keepRoster(token, expected int64, r scheduler.WorkerRoster, last bool) bool {
	if s.owner != token || s.rosterRevision != expected {
		return false
	}
	s.revision++
	s.roster, s.rosterRevision = r, s.revision
	if last {
		s.owner = 0
	}
	return true
}

// acquire makes the next revision the owner, if expected is the present one.
func (s *overlapStore) acquire(expected int64) (int64, bool) {
	if s.owner != expected {
		return 0, false
	}
	s.revision++
	s.owner = s.revision
	s.owners = append(s.owners, s.owner)
	return s.owner, true
}

// ownerAfter reports whether the pool changed its owner between two revisions.
// An owner that follows the pool's work meets that change first.
func (s *overlapStore) ownerAfter(token, revision int64) bool {
	for _, o := range s.owners {
		if o > token && o <= revision {
			return true
		}
	}
	return false
}

// text returns progress as it would be encoded.
func text(p scheduler.Progress) string { return fmt.Sprint(p) }
