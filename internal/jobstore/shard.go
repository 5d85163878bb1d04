package jobstore

import (
	"slices"
	"sort"
	"strings"

	"persimmonbay/internal/placement"
)

// maxEndedJobs is how many jobs that have ended a shard keeps.
const maxEndedJobs = 50

// Shard is the jobs that one value of the store holds. A Shard is never changed
// in place, so that it may be read without a lock.
type Shard struct {
	Index   int             `json:"-"`
	Version uint64          `json:"-"`              // of the value in the store; 0: not stored yet
	Term    string          `json:"term,omitempty"` // of the controller that may place jobs
	Jobs    []placement.Job `json:"jobs"`           // ordered by ID
}

// Find returns a job.
func (s Shard) Find(job string) (placement.Job, bool) {
	i, found := s.search(job)
	if !found {
		return placement.Job{}, false
	}
	return s.Jobs[i], true
}

// With returns s with j added or replaced, and without the jobs that ended
// first when there are more than are kept.
func (s Shard) With(changed ...placement.Job) Shard {
	s.Jobs = slices.Clone(s.Jobs)
	for _, j := range changed {
		i, found := s.search(j.ID)
		if found {
			s.Jobs[i] = j
		} else {
			s.Jobs = slices.Insert(s.Jobs, i, j)
		}
	}
	return s.trimmed()
}

func (s Shard) search(job string) (int, bool) {
	return slices.BinarySearchFunc(s.Jobs, job, func(j placement.Job, id string) int { return strings.Compare(j.ID, id) })
}

// trimmed drops the jobs that ended first beyond those that are kept.
func (s Shard) trimmed() Shard {
	var ended []placement.Job
	for i := range s.Jobs {
		if s.Jobs[i].Phase.Ended() {
			ended = append(ended, s.Jobs[i])
		}
	}
	if len(ended) <= maxEndedJobs {
		return s
	}
	sort.SliceStable(ended, func(a, b int) bool { return ended[a].Since.Before(ended[b].Since) })
	dropped := make(map[string]bool)
	for _, j := range ended[:len(ended)-maxEndedJobs] {
		dropped[j.ID] = true
	}
	s.Jobs = slices.DeleteFunc(s.Jobs, func(j placement.Job) bool { return dropped[j.ID] })
	return s
}
