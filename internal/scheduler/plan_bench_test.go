package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/scheduler"
)

// benchSizes are the numbers of workers of one pool: of a standard site, of a grown
// site in total, and the number that the users' target names.
var benchSizes = []int{50, 350, 910}

const (
	// benchWaiting is the number of waiting jobs for each worker, as at the end of a
	// burst at five times the mean rate.
	benchWaiting = 2
	benchTasks   = 8 // of each job
)

// fullPool returns a pool whose workers have no free capacity, with waiting jobs, and
// the starts of all runs.
func fullPool(workers int) (*scene, []scheduler.StartOrder) {
	var infos []scheduler.WorkerInfo
	for i := range workers {
		infos = append(infos, worker(fmt.Sprintf("w%04d", i)))
	}
	s := newScene(infos...)
	s.advance(time.Minute)
	for i := range workers * (2 + benchWaiting) {
		s.add(batchJob(fmt.Sprintf("j%05d", i), benchTasks))
	}
	starts := s.startAll()
	running := make(map[string][]scheduler.RunReport)
	for _, o := range starts {
		running[o.Worker] = append(running[o.Worker], runReport(o))
	}
	for _, info := range infos {
		s.poll(info.ID, running[info.ID])
	}
	return s, starts
}

// BenchmarkStep measures the cost of one end in an overloaded pool: applying the poll
// reply that lists it, the plan that starts the next task, and the answer to that start.
func BenchmarkStep(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s, running := fullPool(workers)
			byWorker := make(map[string][]scheduler.StartOrder)
			for _, o := range running {
				byWorker[o.Worker] = append(byWorker[o.Worker], o)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("w%04d", i%workers)
				finished := byWorker[id][0]
				byWorker[id] = byWorker[id][1:]
				stillRunning := make([]scheduler.RunReport, 0, len(byWorker[id]))
				for _, o := range byWorker[id] {
					stillRunning = append(stillRunning, runReport(o))
				}
				s.poll(id, stillRunning, endReport(finished, scheduler.EndDone))
				for _, o := range s.startAll() {
					byWorker[o.Worker] = append(byWorker[o.Worker], o)
				}
				if i%100 == 0 {
					s.add(batchJob(fmt.Sprintf("more%d", i), 100*benchTasks))
				}
			}
		})
	}
}

// BenchmarkBalance measures the cost of the capacity report of an overloaded pool.
func BenchmarkBalance(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s, _ := fullPool(workers)
			b.ReportAllocs()
			for b.Loop() {
				s.pool.CapacityReport(s.now)
			}
		})
	}
}
