package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// token is the fencing token of the pool under test. A former owner may have started
// jobs that were created up to it.
const token = 100

// timing has the values that the users' sites have.
var timing = scheduler.Timing{
	RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second, StartTimeout: 150 * time.Millisecond, OrderTimeout: 700 * time.Millisecond, ClockDrift: 0.02,
	StartEarly: 200 * time.Millisecond, FormerOwnerLease: 2 * time.Second, StopTimeout: 400 * time.Millisecond, LateCalls: latestCallMillis*time.Millisecond + 100*time.Millisecond,
	FirstSuspension: time.Second, MaxSuspension: 8 * time.Second,
}

// following returns the timing with timeouts that follow the answers, as the entry has it.
func following(t scheduler.Timing) scheduler.Timing {
	t.LeastTimeout = 50 * time.Millisecond
	return t
}

// scene drives a pool step by step, in virtual time.
type scene struct {
	pool    *scheduler.Pool
	now     time.Time
	clock   int64            // of all workers, in milliseconds
	lastEnd map[string]int64 // number of the last end, by worker
}

func newScene(workers ...scheduler.WorkerInfo) *scene { return newSceneWith(timing, workers...) }

func newSceneWith(timing scheduler.Timing, workers ...scheduler.WorkerInfo) *scene {
	s := &scene{now: time.Unix(1_700_000_000, 0), clock: 1000, lastEnd: map[string]int64{}}
	s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{}, s.now)
	s.setWorkers(workers...)
	for _, w := range workers {
		s.poll(w.ID, nil)
	}
	return s
}

// setWorkers passes the platform's list of workers to the pool, and has the roster saved.
func (s *scene) setWorkers(workers ...scheduler.WorkerInfo) {
	s.pool.SetWorkers(workers, s.now)
	s.pool.RosterSaved(s.pool.Roster(s.now))
}

// worker returns the platform's entry of a worker of 32 cores and 128 GB.
func worker(id string) scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: id, Service: "tags", Address: id + ":1", Machine: "m-" + id, Capacity: scheduler.Resources{MilliCPU: 32000, MemoryMB: 131072}, Incarnation: 1}
}

// batchJob returns a job with one step of n tasks.
func batchJob(id string, n int) scheduler.Submission {
	return scheduler.Submission{
		ID: id, Queue: "checks", Service: "tags", MaxFailures: 4, Stretch: 1.6, Objective: 600 * time.Millisecond,
		Steps: []scheduler.Step{{Count: n, Need: scheduler.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}},
	}
}

// longRunningJob returns a job of n long-running tasks, one of which may be unavailable.
func longRunningJob(id string, n int) scheduler.Submission {
	sub := batchJob(id, n)
	sub.Steps[0].LongRunning = true
	sub.Steps[0].MaxPerWorker = 1
	sub.Steps[0].MaxUnavailable = 1
	return sub
}

// add adds a job that was accepted after this owner had taken over.
func (s *scene) add(sub scheduler.Submission) { s.addSaved(sub, token+1, scheduler.Progress{}) }

// addSaved adds a job that was created at the given store revision, with its saved
// progress.
func (s *scene) addSaved(sub scheduler.Submission, created int64, p scheduler.Progress) {
	sub.AcceptedAt = s.now
	s.pool.AddJob(sub, created, created, p, s.now)
}

func (s *scene) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.clock += d.Milliseconds()
}

// plan returns the pool's orders.
func (s *scene) plan() scheduler.Plan { return s.pool.Plan(s.now, s.now) }

// startAll makes a plan and has the workers accept all starts.
func (s *scene) startAll() []scheduler.StartOrder {
	plan := s.plan()
	for _, o := range plan.Starts {
		s.pool.StartAnswered(o, scheduler.Accepted, s.clock, s.now)
	}
	s.advance(time.Millisecond)
	return plan.Starts
}

// poll applies a worker's reply that lists the given runs and ends. Ends without a
// number get the next one.
func (s *scene) poll(id string, running []scheduler.RunReport, ends ...scheduler.EndReport) {
	req, due := s.pool.NextPoll(id, s.now)
	if !due {
		req.Worker = id
	}
	s.applyReply(id, running, ends, req)
}

// restartedAs lists a worker again, as the given incarnation, which has answered.
func (s *scene) restartedAs(id string, incarnation int64) {
	w := worker(id)
	w.Incarnation = incarnation
	s.setWorkers(w)
}

// pollAs applies a reply of a worker's given incarnation that lists neither runs nor ends.
func (s *scene) pollAs(id string, incarnation int64) {
	req, _ := s.pool.NextPoll(id, s.now)
	sent := s.now
	s.advance(time.Millisecond)
	s.pool.ApplyPoll(scheduler.PollReply{Worker: id, SentAt: sent, ReceivedAt: s.now, AckedEnds: req.AckedEnds, Token: req.Token, Incarnation: incarnation, Clock: s.clock})
}

// silent has as many polls of the worker fail at once as show that it is gone.
func (s *scene) silent(id string) {
	for range pollsUntilGone {
		req, due := s.pool.NextPoll(id, s.now)
		ExpectWithOffset(1, due).To(BeTrue())
		ExpectWithOffset(1, req.Worker).To(Equal(id))
		s.pool.PollFailed(id, scheduler.NoResponse, s.now)
	}
}

// pollsUntilGone is the number of polls in a row that fail at once when a worker is gone.
const pollsUntilGone = 6

func (s *scene) applyReply(id string, running []scheduler.RunReport, ends []scheduler.EndReport, req scheduler.PollRequest) {
	sent := s.now
	s.advance(time.Millisecond)
	for i := range ends {
		if ends[i].Number == 0 {
			s.lastEnd[id]++
			ends[i].Number = s.lastEnd[id]
		}
	}
	s.pool.ApplyPoll(scheduler.PollReply{Worker: id, SentAt: sent, ReceivedAt: s.now, AckedEnds: req.AckedEnds, Token: req.Token, Incarnation: 1, Clock: s.clock, Running: running, Ends: ends})
}

func endReport(o scheduler.StartOrder, kind scheduler.EndKind) scheduler.EndReport {
	return scheduler.EndReport{Task: o.Task, Attempt: o.Attempt, Kind: kind}
}

func runReport(o scheduler.StartOrder) scheduler.RunReport {
	return scheduler.RunReport{Task: o.Task, Attempt: o.Attempt, Percent: 100}
}

// save has all progress saved at the given store revision, and returns it by job.
func (s *scene) save(revision int64) map[string]scheduler.SaveItem {
	saved := map[string]scheduler.SaveItem{}
	items, _ := s.pool.ClaimUnsaved(100)
	s.pool.Saved(items, revision)
	for _, i := range items {
		saved[i.Job] = i
	}
	return saved
}

// startTexts returns each order as "job/index@worker#attempt".
func startTexts(orders []scheduler.StartOrder) []string {
	var texts []string
	for _, o := range orders {
		texts = append(texts, fmt.Sprintf("%s/%d@%s#%d", o.Task.Job, o.Task.Index, o.Worker, o.Attempt))
	}
	return texts
}

// only returns the single element of a list.
func only[T any](list []T) T {
	ExpectWithOffset(1, list).To(HaveLen(1))
	return list[0]
}
