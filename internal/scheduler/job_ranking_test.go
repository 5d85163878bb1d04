package scheduler

import (
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the order of jobs from plan to plan", func() {
	It("is that of a stable sort of all jobs, whichever ranks change, jobs come and jobs end", func() {
		for seed := range int64(20) {
			random := rand.New(rand.NewSource(seed))
			var ranking jobRanking
			var all []*job
			randomRank := func() rank {
				return rank{
					beyond: random.Intn(8) == 0, class: []int{-1, 0, 1, lateClass, veryLateClass}[random.Intn(5)], excess: random.Intn(3),
					remainingWork: float64(random.Intn(6)), teamPriority: random.Intn(2), accepted: time.Unix(int64(random.Intn(5)), 0),
				}
			}
			for range 60 {
				for range random.Intn(20) {
					j := &job{rank: randomRank()}
					all = append(all, j)
					ranking.add(j)
				}
				changed := 1 << random.Intn(8) // of so many jobs, one changes its rank
				for _, j := range all {
					if random.Intn(8*changed) == 0 {
						j.progress.State = Completed
					}
				}
				all = slices.DeleteFunc(all, func(j *job) bool { return j.progress.State.Final() })
				ranks := make(map[*job]rank)
				for _, j := range all {
					if ranks[j] = j.rank; random.Intn(changed) == 0 {
						ranks[j] = randomRank()
					}
				}
				ranking.rank(func(j *job) rank { return ranks[j] })
				sorted := slices.Clone(all)
				slices.SortStableFunc(sorted, func(a, b *job) int {
					ra, rb := ranks[a], ranks[b]
					return ra.compare(&rb)
				})
				Expect(slices.Equal(ranking.jobs, sorted)).To(BeTrue(), "seed %d", seed)
			}
		}
	})
})
