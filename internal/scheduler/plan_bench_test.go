package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/scheduler"
)

// benchSizes are the numbers of workers of one pool: a standard site's, all of a
// grown site's, and those that the users' target names.
var benchSizes = []int{50, 350, 910}

const (
	// benchWaiting is how many jobs wait for each worker, as at the end of a turn
	// at five times the mean.
	benchWaiting = 2
	benchTasks   = 8
)

// fullPool returns a pool whose workers are full, with jobs that wait, and what
// was started.
func fullPool(workers int) (*scene, []scheduler.StartOrder) {
	var facts []scheduler.WorkerInfo
	for i := range workers {
		facts = append(facts, worker(fmt.Sprintf("w%04d", i)))
	}
	s := newScene(facts...)
	s.pass(time.Minute)
	for i := range workers * (2 + benchWaiting) {
		s.add(tasks(fmt.Sprintf("j%05d", i), benchTasks))
	}
	starts := s.startAll()
	running := make(map[string][]scheduler.RunReport)
	for _, o := range starts {
		running[o.Worker] = append(running[o.Worker], runs(o))
	}
	for _, f := range facts {
		s.poll(f.ID, running[f.ID])
	}
	return s, starts
}

// BenchmarkStep measures what one end costs in an overloaded pool: taking in the
// poll that lists it, a plan that starts the next task, and its answer.
func BenchmarkStep(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s, running := fullPool(workers)
			rows := make(map[string][]scheduler.StartOrder)
			for _, o := range running {
				rows[o.Worker] = append(rows[o.Worker], o)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("w%04d", i%workers)
				over := rows[id][0]
				rows[id] = rows[id][1:]
				listed := make([]scheduler.RunReport, 0, len(rows[id]))
				for _, o := range rows[id] {
					listed = append(listed, runs(o))
				}
				s.poll(id, listed, ended(over, scheduler.EndDone))
				for _, o := range s.startAll() {
					rows[o.Worker] = append(rows[o.Worker], o)
				}
				if i%100 == 0 {
					s.add(tasks(fmt.Sprintf("more%d", i), 100*benchTasks))
				}
			}
		})
	}
}

// BenchmarkBalance measures the load of an overloaded pool.
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
