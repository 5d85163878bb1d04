package scheduler_test

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// sim runs successive owners of a pool against workers in virtual time. It injects lost
// answers, late orders, network cuts and restarts, and checks the rules for each start.
type sim struct {
	random        *rand.Rand
	now           time.Time
	workers       map[string]*simWorker
	workerIDs     []string
	owner         *simOwner
	lateOrders    []simLateOrder
	saved         map[string]scheduler.Progress // progress in the store, by job
	submissions   map[string]scheduler.Submission
	created       map[string]int64 // store revision of each job's acceptance
	roster        scheduler.WorkerRoster
	token         int64
	savedDone     map[scheduler.TaskID]bool // the saved progress has the task as done
	savedFailures map[scheduler.TaskID]int  // failures in the saved progress
	ackedDone     map[scheduler.TaskID]bool // an end of kind done was acknowledged
	failedRuns    map[scheduler.TaskID]int  // failed runs on all workers
	ackedFailures map[scheduler.TaskID]int  // failed ends that were acknowledged
	noFaults      bool
}

func newSim(seed int64) *sim {
	s := &sim{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), workers: map[string]*simWorker{}, saved: map[string]scheduler.Progress{},
		submissions: map[string]scheduler.Submission{}, created: map[string]int64{}, token: 1, savedDone: map[scheduler.TaskID]bool{}, savedFailures: map[scheduler.TaskID]int{}, ackedDone: map[scheduler.TaskID]bool{}, ackedFailures: map[scheduler.TaskID]int{}, failedRuns: map[scheduler.TaskID]int{},
	}
	for i := range 4 {
		id := fmt.Sprint("w", i)
		s.workerIDs = append(s.workerIDs, id)
		s.workers[id] = newSimWorker(worker(id), s.now, s.failedRuns, s.recordAck)
	}
	s.takeOver()
	return s
}

// takeOver starts the next owner, which loads the saved roster and progress.
func (s *sim) takeOver() {
	s.token += 10
	o := &simOwner{pool: scheduler.NewPool("tags", s.token, following(timing), s.roster, s.now), until: s.now.Add(time.Hour)}
	s.owner = o
	s.updateWorkerList()
	s.saveRoster()
	for id, sub := range s.submissions {
		o.pool.AddJob(sub, s.created[id], s.token, s.saved[id], s.now)
	}
}

func (s *sim) updateWorkerList() {
	var infos []scheduler.WorkerInfo
	for _, id := range s.workerIDs {
		infos = append(infos, s.workers[id].info)
	}
	s.owner.pool.SetWorkers(infos, s.now)
}

func (s *sim) saveRoster() {
	s.roster = s.owner.pool.Roster(s.now)
	s.owner.pool.RosterSaved(s.roster)
}

// chance returns true for the given percentage of calls, and false once no faults are
// injected.
func (s *sim) chance(percent int) bool { return !s.noFaults && s.random.Intn(100) < percent }

// deliver carries out an order at its worker, at once, later or never. It reports
// whether the answer arrives.
func (s *sim) deliver(id string, do func(now time.Time)) bool {
	switch w := s.workers[id]; {
	case s.now.Before(w.cutOffUntil):
		return false
	case s.chance(3):
		// The late order does not reach a next incarnation of the worker.
		s.lateOrders = append(s.lateOrders, simLateOrder{s.now.Add(time.Duration(s.random.Intn(8000)) * time.Millisecond), func(now time.Time) {
			if s.workers[id] == w {
				do(now)
			}
		}})
		return false
	}
	do(s.now)
	return !s.chance(3)
}

// step advances the time by 20 ms: late orders arrive, and the owner plans, polls and
// saves.
func (s *sim) step() {
	s.now = s.now.Add(20 * time.Millisecond)
	for _, id := range s.workerIDs {
		s.workers[id].advance(s.now)
	}
	orders := s.lateOrders
	s.lateOrders = nil
	for _, l := range orders {
		if s.now.Before(l.at) {
			s.lateOrders = append(s.lateOrders, l)
			continue
		}
		l.do(s.now)
	}
	s.injectFaults()
	s.plan()
	s.polls()
	if s.random.Intn(3) == 0 {
		s.save()
	}
	if s.random.Intn(10) == 0 {
		s.saveRoster()
	}
}

func (s *sim) injectFaults() {
	id := s.workerIDs[s.random.Intn(len(s.workerIDs))]
	if s.chance(1) {
		s.workers[id].cutOffUntil = s.now.Add(time.Duration(s.random.Intn(9000)) * time.Millisecond)
	}
	if s.random.Intn(400) == 0 && !s.noFaults {
		s.workers[id] = newSimWorker(worker(id), s.now, s.failedRuns, s.recordAck)
		s.updateWorkerList()
	}
	if s.random.Intn(300) == 0 && !s.noFaults {
		s.takeOver()
	}
}

func (s *sim) plan() {
	s.owner.pool.CapacityReport(s.now) // the report is not used: the call must not panic in any state
	plan := s.owner.pool.Plan(s.now, s.now)
	for _, o := range plan.Stops {
		result := scheduler.NoResponse
		if s.deliver(o.Worker, func(now time.Time) { result = s.workers[o.Worker].stop(o, now) }) {
			s.owner.pool.StopAnswered(o, result, s.now)
		} else {
			s.owner.pool.StopAnswered(o, scheduler.NoResponse, s.now)
		}
	}
	for _, o := range plan.Starts {
		s.start(o)
	}
}

func (s *sim) start(o scheduler.StartOrder) {
	result := scheduler.NoResponse
	begin := func(now time.Time) {
		before := s.workers[o.Worker].running[o.Task].attempt
		result = s.workers[o.Worker].start(o, now, s.random)
		if result == scheduler.Accepted && before != o.Attempt {
			s.checkStart(o)
		}
	}
	if s.deliver(o.Worker, begin) {
		s.owner.pool.StartAnswered(o, result, s.workers[o.Worker].clock(s.now), s.now)
		return
	}
	s.owner.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
}

func (s *sim) polls() {
	for _, id := range s.workerIDs {
		req, due := s.owner.pool.NextPoll(id, s.now)
		if !due || s.random.Intn(3) > 0 {
			continue
		}
		var reply scheduler.PollReply
		result := scheduler.NoResponse
		sent := s.now
		if s.deliver(id, func(now time.Time) { reply, result = s.workers[id].poll(req, sent, now) }) && result == scheduler.Accepted {
			s.owner.pool.ApplyPoll(reply)
		} else {
			s.owner.pool.PollFailed(id, scheduler.NoResponse, s.now)
		}
	}
}

func (s *sim) save() {
	items, _ := s.owner.pool.ClaimUnsaved(5)
	if s.chance(10) {
		s.owner.pool.SaveFailed(items)
		return
	}
	for _, i := range items {
		s.saved[i.Job] = i.Progress
		s.recordSaved(i)
	}
	s.owner.pool.Saved(items, s.token+1)
}

func (s *sim) add(id string) {
	sub := batchJob(id, 1+s.random.Intn(6))
	sub.Steps[0].Need = simTaskNeed
	sub.AcceptedAt = s.now
	s.submissions[id], s.created[id] = sub, s.token+1
	s.owner.pool.AddJob(sub, s.token+1, s.token+1, scheduler.Progress{}, s.now)
}

// run injects faults for 30 seconds. Within 40 further seconds without faults, all jobs
// have to end.
func (s *sim) run() {
	for n := range 1500 {
		if n%40 == 0 && n < 1200 {
			s.add(fmt.Sprintf("job-%04d", n))
		}
		s.step()
	}
	s.noFaults = true
	for range 2000 {
		s.step()
	}
	for id := range s.submissions {
		Expect(s.saved[id].State.Final()).To(BeTrue(), "job %s has not ended: %v", id, s.saved[id])
	}
}

// simSeeds returns the number of seeds that each simulation runs with: 20, or the value
// of PERSIMMONBAY_SEEDS for longer runs by hand.
func simSeeds() int64 {
	if n, err := strconv.ParseInt(os.Getenv("PERSIMMONBAY_SEEDS"), 10, 64); err == nil {
		return n
	}
	return usualSeeds
}

// usualSeeds is how many seeds a simulation plays in CI.
const usualSeeds = 20

var _ = Describe("successive owners, among workers that lose answers, act late, are cut off and restart", func() {
	It("run no task twice, none after its end was saved, none too often, and lose no job", func() {
		for seed := range simSeeds() {
			By(fmt.Sprint("seed ", seed))
			newSim(seed).run()
		}
	})
})
