package jobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/jobs"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	standin "persimmonbay/internal/standin/platform"
	"persimmonbay/internal/standin/worker"
)

// tick is the virtual time between two steps.
const tick = 500 * time.Millisecond

// simWorld is a fleet in virtual time: simulated platform and workers, and
// entries that compete to place jobs.
type simWorld struct {
	random              *rand.Rand
	clock               *clockwork.FakeClock
	store               *standin.Store
	list                *standin.Instances
	tasks               *standin.Tasks
	runners             map[string]*worker.Runner
	workers             []placement.Worker
	teams               map[string]placement.Team
	policy              placement.Policy
	entries             []*simEntry
	holder              *simEntry
	terms               int
	outage              bool
	unreachable         string // ID of a worker that does not respond
	responseLossRate    float64
	pauseRate           float64 // probability of a pause of the whole entry before a call
	pausing             bool
	pauseAt             int64             // number of the write before which the holder pauses; 0: pauses are only random
	inPause             func()            // called during each pause
	writes              atomic.Int64      // to the store
	teamOf              map[string]string // by job
	check               func()
	submitted           int // by disturb
	restarts            int // of workers
	replacedRunners     []*worker.Runner
	disturbs            bool           // disturb is called during pauses
	startsWhenCancelled map[string]int // by job
}

func newWorld(seed uint64, workers int, size fleet.Resources) *simWorld {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC))
	w := &simWorld{random: rand.New(rand.NewPCG(seed, 2)), clock: clock, store: standin.NewStore(clock), list: standin.NewInstances(clock),
		runners: map[string]*worker.Runner{}, teams: map[string]placement.Team{}, policy: placement.DefaultPolicy(), teamOf: map[string]string{}, startsWhenCancelled: map[string]int{}, check: func() {}, inPause: func() {}}
	w.tasks = standin.NewTasks(clock, w.list, func(i fleet.Instance) worker.API { return w.workerAPI(i.ID) })
	for i := range workers {
		id := fmt.Sprintf("w-%02d", i)
		w.runners[id] = worker.NewRunner(clock)
		w.list.Put(fleet.Instance{ID: id, Kind: fleet.KindWorker, State: fleet.Live, Resources: size})
		w.workers = append(w.workers, placement.Worker{ID: id, Size: size, Live: true})
	}
	for i := range 3 {
		w.entries = append(w.entries, w.newEntry(fmt.Sprintf("entry-%d", i+1)))
	}
	w.elect(w.entries[0])
	return w
}

// workerAPI returns the interface of a worker to the platform. An unreachable worker
// continues to run its tasks.
func (w *simWorld) workerAPI(id string) worker.API {
	if id == w.unreachable {
		return &worker.Client{Address: "127.0.0.1:0"} // nothing listens there
	}
	return w.runners[id]
}

func (w *simWorld) must(err error) { Expect(err).NotTo(HaveOccurred()) }

func (w *simWorld) fleet() jobs.Fleet { return jobs.Fleet{Workers: w.workers, Teams: w.teams} }

// elect gives an entry the control lease.
func (w *simWorld) elect(e *simEntry) {
	w.terms++
	w.holder = e
	e.controller.Begin(fmt.Sprintf("term-%d", w.terms))
}

// electAnother lets the lease expire and gives it to another entry.
func (w *simWorld) electAnother() {
	others := []*simEntry{}
	for _, e := range w.entries {
		if e != w.holder && !e.crashed {
			others = append(others, e)
		}
	}
	w.elect(others[w.random.IntN(len(others))])
}

// mayPause pauses e before a call, with the probability pauseRate, if it holds
// the lease.
func (w *simWorld) mayPause(e *simEntry) {
	if !w.pausing && e == w.holder && w.random.Float64() < w.pauseRate {
		w.pause()
	}
}

// pause stops the holder in the middle of a step. Another entry gets the lease
// and makes a few steps before the paused one continues.
func (w *simWorld) pause() {
	w.pausing = true
	w.electAnother()
	w.inPause()
	for range 1 + w.random.IntN(6) {
		if w.disturbs {
			w.disturb()
		}
		w.clock.Advance(tick)
		w.holder.step()
		w.check()
	}
	w.pausing = false
}

// crash ends the holder's process without a shutdown. A new process replaces it,
// and another entry gets the lease.
func (w *simWorld) crash() {
	for i, e := range w.entries {
		if e == w.holder {
			e.crashed = true
			w.electAnother()
			w.entries[i] = w.newEntry(e.name)
			return
		}
	}
}

// run steps until done returns true or limit has passed, and reports whether done
// returned true.
func (w *simWorld) run(limit time.Duration, done func() bool) bool {
	for end := w.clock.Now().Add(limit); w.clock.Now().Before(end); {
		w.clock.Advance(tick)
		w.holder.step()
		w.check()
		if done() {
			return true
		}
	}
	return false
}

// submit queues jobs as an operator does, through a client of the store without
// faults.
func (w *simWorld) submit(submitted ...placement.Job) {
	for _, j := range submitted {
		w.teamOf[j.ID] = j.Team
	}
	w.must(jobs.Submit(context.Background(), jobstore.New(w.store), w.fleet(), w.clock.Now(), submitted))
}

// starts returns the number of starts of the job's tasks on all workers.
func (w *simWorld) starts(job string) int {
	n := 0
	for _, r := range w.runners {
		n += r.Load().Starts[job]
	}
	for _, r := range w.replacedRunners {
		n += r.Load().Starts[job]
	}
	return n
}

// allEnded reports whether every job has ended according to the holder's view.
func (w *simWorld) allEnded() bool {
	for _, j := range w.holder.controller.View.Jobs() {
		if !j.Phase.Ended() {
			return false
		}
	}
	return true
}

// newJob returns a repeatable job that runs for the given time.
func newJob(id, team string, class fleet.Class, size fleet.Resources, runs time.Duration) placement.Job {
	return placement.Job{ID: id, Team: team, Name: team + "-work", Class: class, Size: size, RunTime: runs, Repeatable: true, Work: workOf(worker.Work{RunMillis: runs.Milliseconds()})}
}

func workOf(w worker.Work) string {
	text, _ := json.Marshal(w) // plain fields cannot fail
	return string(text)
}

func cores(n int) fleet.Resources { return fleet.Resources{MilliCores: 1000 * n, MemoryMB: 2048 * n} }
