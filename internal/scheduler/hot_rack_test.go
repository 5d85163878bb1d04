package scheduler_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a pool in which many tasks want the same rack", func() {
	const (
		near     = 600 * time.Millisecond
		factor   = 1.5
		hotShare = 0.55
		jobs     = 300
	)

	// play runs jobs of one task, and returns the times from acceptance to the end and how many
	// ran away from their rack.
	play := func(t scheduler.Timing, jobGap time.Duration, seed int64) (times []time.Duration, away int) {
		random := rand.New(rand.NewSource(seed))
		var workers []scheduler.WorkerInfo
		racks := map[string]string{} // by worker
		for i := range 8 {
			w := worker(fmt.Sprint("w", i))
			w.Rack, w.Capacity.MilliCPU = fmt.Sprint("r", i/2), 4000
			w.Labels = []string{w.Rack}
			racks[w.ID] = w.Rack
			workers = append(workers, w)
		}
		s := newSceneWith(t, workers...)
		wants, accepted := map[string]string{}, map[string]time.Time{}
		running, endsAt := map[string][]scheduler.StartOrder{}, map[string]time.Time{}
		next, added := s.now, 0
		for len(times) < jobs {
			if added < jobs && !s.now.Before(next) {
				id, rack := fmt.Sprintf("job-%03d", added), "r0"
				if random.Float64() >= hotShare {
					rack = fmt.Sprint("r", 1+random.Intn(3))
				}
				sub := batchJob(id, 1)
				sub.Steps[0].DataRack, sub.Steps[0].Estimate, sub.Objective = rack, near, 5*time.Second
				s.add(sub)
				wants[id], accepted[id] = rack, s.now
				added, next = added+1, next.Add(jobGap)
			}
			for _, o := range s.plan().Starts {
				takes := time.Duration(float64(near) * (0.7 + 0.6*random.Float64()))
				if racks[o.Worker] != wants[o.Task.Job] {
					takes = time.Duration(factor * float64(takes))
					away++
				}
				s.pool.StartAnswered(o, scheduler.Accepted, s.clock, s.now)
				running[o.Worker] = append(running[o.Worker], o)
				endsAt[o.Task.Job] = s.now.Add(takes)
			}
			for _, w := range workers {
				var ends []scheduler.EndReport
				var runs []scheduler.RunReport
				var going []scheduler.StartOrder
				for _, o := range running[w.ID] {
					if s.now.Before(endsAt[o.Task.Job]) {
						going, runs = append(going, o), append(runs, runReport(o))
						continue
					}
					ends = append(ends, endReport(o, scheduler.EndDone))
					times = append(times, s.now.Sub(accepted[o.Task.Job]))
				}
				running[w.ID] = going
				if len(ends) > 0 || s.now.UnixMilli()%200 == 0 {
					s.poll(w.ID, runs, ends...)
				}
			}
			s.save(token + 1)
			s.advance(5 * time.Millisecond)
		}
		return times, away
	}

	DescribeTable("runs fewer tasks away from their data and ends jobs sooner by waits, and starves none", func(jobGap time.Duration) {
		waiting := timing
		waiting.SpreadFactor = factor
		var allBefore, allAfter []time.Duration
		awayBefore, awayAfter := 0, 0
		for seed := range int64(6) {
			before, away := play(timing, jobGap, seed)
			allBefore, awayBefore = append(allBefore, before...), awayBefore+away
			after, away := play(waiting, jobGap, seed)
			allAfter, awayAfter = append(allAfter, after...), awayAfter+away
		}
		Expect(awayAfter).To(BeNumerically("<", awayBefore))
		Expect(mean(allAfter)).To(BeNumerically("<", mean(allBefore)))
		Expect(quantile(allAfter, 1)).To(BeNumerically("<=", quantile(allBefore, 1)+time.Duration((factor-1)*float64(near))))
	},
		Entry("with the hot rack overloaded", 70*time.Millisecond),
		Entry("with the hot rack busy", 110*time.Millisecond),
		Entry("with room there now and then", 150*time.Millisecond),
	)
})

// mean returns the mean of the times.
func mean(times []time.Duration) time.Duration {
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(len(times))
}
