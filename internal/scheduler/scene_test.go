package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// token is the fencing token of the pool under test; jobs created up to it may
// have been started by an earlier owner.
const token = 100

// timing is that of the users' sites.
var timing = scheduler.Timing{
	RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second, OrderTimeout: 700 * time.Millisecond, ClockDrift: 0.02,
	StartEarly: 200 * time.Millisecond, FormerOwnerLease: 2 * time.Second, StopTimeout: 400 * time.Millisecond,
	FirstSuspension: time.Second, MaxSuspension: 8 * time.Second,
}

// scene drives a pool by hand, with a time of its own.
type scene struct {
	pool  *scheduler.Pool
	now   time.Time
	clock int64 // of all workers, in milliseconds
	ends  map[string]int64
}

func newScene(workers ...scheduler.WorkerInfo) *scene {
	s := &scene{now: time.Unix(1_700_000_000, 0), clock: 1000, ends: map[string]int64{}}
	s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{}, s.now)
	s.setWorkers(workers...)
	for _, w := range workers {
		s.poll(w.ID, nil)
	}
	return s
}

// setWorkers has the platform list the workers, and the roster kept.
func (s *scene) setWorkers(workers ...scheduler.WorkerInfo) {
	s.pool.SetWorkers(workers, s.now)
	s.pool.RosterSaved(s.pool.Roster(s.now))
}

// worker returns the facts of a worker of 32 cores and 128 GB.
func worker(id string) scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: id, Service: "tags", Address: id + ":1", Machine: "m-" + id, Capacity: scheduler.Resources{MilliCPU: 32000, MemoryMB: 131072}, Incarnation: 1}
}

// tasks returns a job of one step of n tasks.
func tasks(id string, n int) scheduler.Submission {
	return scheduler.Submission{
		ID: id, Queue: "checks", Service: "tags", MaxFailures: 4, Stretch: 1.6, Objective: 600 * time.Millisecond,
		Steps: []scheduler.Step{{Count: n, Need: scheduler.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}},
	}
}

// lasting returns a job of n tasks that last, of which one may be missed.
func lasting(id string, n int) scheduler.Submission {
	sub := tasks(id, n)
	sub.Steps[0].LongRunning = true
	sub.Steps[0].MaxPerWorker = 1
	sub.Steps[0].MaxUnavailable = 1
	return sub
}

func (s *scene) add(sub scheduler.Submission) { s.addSaved(sub, token+1, scheduler.Progress{}) }

func (s *scene) addSaved(sub scheduler.Submission, created int64, p scheduler.Progress) {
	sub.AcceptedAt = s.now
	s.pool.AddJob(sub, created, created, p, s.now)
}

func (s *scene) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.clock += d.Milliseconds()
}

// plan returns what the pool orders now.
func (s *scene) plan() scheduler.Plan { return s.pool.Plan(s.now, s.now) }

// startAll plans, and has all starts accepted.
func (s *scene) startAll() []scheduler.StartOrder {
	plan := s.plan()
	for _, o := range plan.Starts {
		s.pool.StartAnswered(o, scheduler.Accepted, s.clock, s.now)
	}
	s.pass(time.Millisecond)
	return plan.Starts
}

// poll has a worker answer with what runs there and what ended since the last
// poll.
func (s *scene) poll(id string, running []scheduler.RunReport, ends ...scheduler.EndReport) {
	req, due := s.pool.NextPoll(id, s.now)
	if !due {
		req.Worker = id
	}
	s.answer(id, running, ends, req)
}

func (s *scene) answer(id string, running []scheduler.RunReport, ends []scheduler.EndReport, req scheduler.PollRequest) {
	sent := s.now
	s.pass(time.Millisecond)
	for i := range ends {
		if ends[i].Number == 0 {
			s.ends[id]++
			ends[i].Number = s.ends[id]
		}
	}
	s.pool.ApplyPoll(scheduler.PollReply{Worker: id, SentAt: sent, ReceivedAt: s.now, AckedEnds: req.AckedEnds, Incarnation: 1, Clock: s.clock, Running: running, Ends: ends})
}

func ended(o scheduler.StartOrder, kind scheduler.EndKind) scheduler.EndReport {
	return scheduler.EndReport{Task: o.Task, Attempt: o.Attempt, Kind: kind}
}

func runs(o scheduler.StartOrder) scheduler.RunReport {
	return scheduler.RunReport{Task: o.Task, Attempt: o.Attempt, Percent: 100}
}

// save has all progress kept and returns it by job.
func (s *scene) save(revision int64) map[string]scheduler.SaveItem {
	kept := map[string]scheduler.SaveItem{}
	items, _ := s.pool.ClaimUnsaved(100)
	s.pool.Saved(items, revision)
	for _, i := range items {
		kept[i.Job] = i
	}
	return kept
}

func names(orders []scheduler.StartOrder) []string {
	var n []string
	for _, o := range orders {
		n = append(n, fmt.Sprintf("%s/%d@%s#%d", o.Task.Job, o.Task.Index, o.Worker, o.Attempt))
	}
	return n
}

// only returns the single element of a list.
func only[T any](list []T) T {
	ExpectWithOffset(1, list).To(HaveLen(1))
	return list[0]
}
