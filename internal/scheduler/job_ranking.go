package scheduler

import (
	"cmp"
	"slices"
)

// jobRanking holds the jobs that have not ended in the order of their ranks. It stays from
// plan to plan: between two of them few jobs change their places, and only those are sorted
// anew. The pool's lock guards it.
type jobRanking struct {
	jobs  []*job // in the order of the last plan; those added since come last
	added int64
	moved []*job // empty between two calls
}

// add adds a job. Of jobs with the same rank the one added first goes first.
func (r *jobRanking) add(j *job) {
	r.added++
	j.number = r.added
	r.jobs = append(r.jobs, j)
}

// rank gives each job a new rank and sorts the jobs by these. Jobs that have ended leave.
func (r *jobRanking) rank(rankOf func(j *job) rank) {
	remaining := r.jobs[:0]
	for _, j := range r.jobs {
		if !j.progress.State.Final() {
			j.rank = rankOf(j)
			remaining = append(remaining, j)
		}
	}
	clear(r.jobs[len(remaining):])
	r.jobs = remaining
	r.sort()
}

// sort takes both jobs out wherever one follows another that it goes before, sorts these
// and merges them with the rest, which is in order then. At most twice as many are taken
// out as have changed their places.
func (r *jobRanking) sort() {
	kept, moved := r.jobs[:0], r.moved[:0]
	for _, j := range r.jobs {
		if last := len(kept) - 1; last >= 0 && j.compareRank(kept[last]) < 0 {
			moved = append(moved, kept[last], j)
			kept = kept[:last]
			continue
		}
		kept = append(kept, j)
	}
	slices.SortFunc(moved, (*job).compareRank)
	r.moved = moved
	for at := len(r.jobs) - 1; len(moved) > 0; at-- { // from the end, so that none is overwritten
		k, m := len(kept)-1, len(moved)-1
		if k >= 0 && kept[k].compareRank(moved[m]) > 0 {
			r.jobs[at], kept = kept[k], kept[:k]
		} else {
			r.jobs[at], moved = moved[m], moved[:m]
		}
	}
	clear(r.moved)
}

// compareRank orders jobs by rank, and those of the same rank by when they were added.
func (j *job) compareRank(o *job) int {
	return cmp.Or(j.rank.compare(&o.rank), cmp.Compare(j.number, o.number))
}
