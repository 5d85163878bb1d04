package jobstore

import (
	"slices"
	"sort"
	"strings"

	"persimmonbay/internal/placement"
)

// maxEndedJobs is the maximum number of ended jobs that a shard retains.
const maxEndedJobs = 50

// Shard holds the jobs of one value of the store. A Shard is never changed in
// place, so that it may be read without a lock.
type Shard struct {
	Index   int             `json:"-"`
	Version uint64          `json:"-"`              // of the value in the store; 0: not stored yet
	Term    string          `json:"term,omitempty"` // term of the controller that may place the jobs
	Jobs    []placement.Job `json:"jobs"`           // ordered by ID
}

// Find returns the job with this ID, and false when s does not hold it.
func (s Shard) Find(job string) (placement.Job, bool) {
	i, found := s.search(job)
	if !found {
		return placement.Job{}, false
	}
	return s.Jobs[i], true
}

// With returns s with the changed jobs added or replaced. Of the ended jobs, only
// the maxEndedJobs latest remain.
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

// trimmed returns s with only the maxEndedJobs latest of the ended jobs.
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
