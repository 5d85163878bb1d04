package poolmanager

import (
	"context"
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

// BenchmarkLoad measures the load of a pool by jobs: processor time and bytes read, both
// a job, and reads of a page of 500 items. Each job has the shape that most jobs of the
// grown sites have: two steps of eight tasks.
func BenchmarkLoad(b *testing.B) {
	for _, jobs := range []int{500, 5000, 20000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := newOwnershipScene()
			s.store.pageSize = 500
			bytes := 0
			for i := range jobs {
				bytes += putBenchJob(b, s, fmt.Sprintf("%016x", i))
			}
			for b.Loop() {
				s.store.pages = 0
				o := s.own()
				if _, _, err := o.tryLoad(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*jobs), "us/job")
			b.ReportMetric(float64(bytes)/float64(jobs), "B/job")
			b.ReportMetric(float64(s.store.pages), "pages")
		})
	}
}

// putBenchJob stores an accepted job, and returns the size of its keys and values.
func putBenchJob(b *testing.B, s *ownershipScene, id string) int {
	step := scheduler.Step{Count: 8, Need: scheduler.Resources{MilliCPU: 4100, MemoryMB: 3000}, Estimate: time.Second}
	second := step
	second.After = []int{0}
	job, err := poolstore.EncodeJob(&scheduler.Submission{
		ID: id, Queue: "checks", Service: sceneService, Spec: "1000", MaxFailures: 4, Stretch: 1.6, Objective: time.Second,
		Steps: []scheduler.Step{step, second},
	})
	if err != nil {
		b.Fatal(err)
	}
	state, err := poolstore.EncodeState(&poolstore.JobProgress{Queue: "checks"})
	if err != nil {
		b.Fatal(err)
	}
	jobKey, stateKey := poolstore.JobKey(sceneService, id), poolstore.StateKey(sceneService, id)
	s.store.put(jobKey, job, 0)
	s.store.put(stateKey, state, 0)
	return len(jobKey) + len(job) + len(stateKey) + len(state)
}
