package scheduler

import (
	"sync"
	"time"
)

// Pool is the work of one service's workers under one owner. mu guards all
// other fields but service, token, timing and epoch, which never change.
type Pool struct {
	service string
	token   int64
	timing  Timing
	epoch   int // counts the pool's owners

	mu                    sync.Mutex
	takenAt               time.Time
	formerOrdersEndAt     time.Time                 // from then on, no earlier owner orders anything
	formerRunsEndAt       time.Time                 // by then, all that an earlier owner started has ended or answered
	formerRunsKnown       bool                      // all that an earlier owner may have started is known or has ended
	formerWorkersAnswered bool                      // no worker is waited for that may hold what an earlier owner started
	awaited               map[string]*awaitedWorker // by worker: what an earlier owner may have started
	jobs                  map[string]*job
	jobOrder              []*job // the jobs by acceptance
	workers               map[string]*worker
	wallTime              time.Time // time of day at the last plan
	changeSequence        int64     // of the last change that has to be saved
	durations             *durations
	counts                Counts
	toEmpty               map[string]time.Time // machines to be emptied, and by when
	emptied               map[string]bool      // machines that were said to be empty
	publishedOffers       map[string]bool      // machines that are offered in the store: they may be taken at any time
	lastMachineCapacity   Resources            // capacity of a usual machine when some that have answered were last listed
	loadPeak              float64              // recent peak of the load, in machines
	longLoadPeak          float64              // highest load of the last while, in machines
	ownMachines           int                  // machines that are the pool's own; 0: not known
	toGiveUp              int                  // machines that the pool has to give up
	loadPeakAt            time.Time
	shortSince            time.Time            // since when more comes in than the pool can serve; zero: it does not
	throttlesPlannedAt    time.Time            // when paces were last planned
	startCandidates       startCandidates      // of the plan under way
	rankedJobs            []*job               // as the last plan put them in order
	shortArrivals         arrivalRate          // over a short time
	longArrivals          arrivalRate          // and over a longer one
	pendingCancels        map[string]int64     // revisions of cancels that came before their jobs
	endedJobs             map[string]time.Time // jobs seen to their end, and when they were dropped
	events                []Event              // not read yet
}

// NewPool returns the pool of service for the owner with the given fencing
// token, which takes over what roster says.
func NewPool(service string, token int64, timing Timing, roster WorkerRoster, now time.Time) *Pool {
	p := &Pool{
		service: service, token: token, timing: timing, epoch: roster.Tenure + 1, takenAt: now,
		awaited: make(map[string]*awaitedWorker), jobs: make(map[string]*job), workers: make(map[string]*worker),
		durations: newDurations(), endedJobs: make(map[string]time.Time), pendingCancels: make(map[string]int64), publishedOffers: make(map[string]bool),
		shortArrivals: arrivalRate{window: shortArrivalWindow}, longArrivals: arrivalRate{window: longArrivalWindow},
	}
	p.formerOrdersEndAt = now
	if !roster.Released || !roster.Quiet {
		p.formerOrdersEndAt = now.Add(timing.FormerOwnerLease)
	}
	p.formerRunsEndAt = p.formerOrdersEndAt.Add(timing.granted())
	for i := range roster.Workers {
		p.awaited[roster.Workers[i].ID] = newAwaited(&roster.Workers[i])
	}
	return p
}

// Token returns the owner's fencing token.
func (p *Pool) Token() int64 { return p.token }

// Service returns the service whose workers the pool holds.
func (p *Pool) Service() string { return p.service }

// Counts returns what the pool has done so far.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}
