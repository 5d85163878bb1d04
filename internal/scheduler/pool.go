package scheduler

import (
	"time"

	"persimmonbay/internal/answertime"
	"persimmonbay/internal/door"
	"persimmonbay/internal/quota"
	"persimmonbay/internal/teams"
)

// Pool holds the workers of one service and the jobs that run on them, as one owner
// sees them. Its methods may be called concurrently. service, token, timing and epoch
// never change; mu guards all other fields.
type Pool struct {
	service string
	token   int64 // fencing token: the store revision at which this owner acquired the pool
	timing  Timing
	epoch   int // number of this ownership of the pool: rises by one with each owner

	mu                  poolLock
	loading             bool // the jobs are being read
	takenAt             time.Time
	formerOrdersEndAt   time.Time                 // from then on, no former owner sends orders
	formerRunsEndAt     time.Time                 // by then, the leases of all runs that a former owner started have expired, unless this owner extended them
	formerRunsKnown     bool                      // each run that a former owner may have started is known or has ended
	formerAnsweredAt    time.Time                 // since when awaited has been empty; zero: it is not
	awaited             map[string]*awaitedWorker // by worker ID: workers that may run tasks of a former owner, or have their ends to list
	jobs                map[string]*job
	jobOrder            []*job // the jobs in the order in which they were added
	workers             map[string]*worker
	wallTime            time.Time        // time of day at the last plan
	changeSequence      int64            // sequence number of the last change that has to be saved
	unsavedJobs         map[*job]bool    // those with changes that have to be saved
	unackedWorkers      map[*worker]bool // those with ends that may not be acknowledged yet
	durations           *durations
	chainEnds           []time.Duration // kept for its room: the end of each step of a job, from now
	counts              Counts
	toEmpty             map[string]time.Time // machines to be emptied, and the time of day by which their maintenance should be over
	emptied             map[string]bool      // machines that were reported as empty: they may be taken down at any time
	emptyClaims         map[string]bool      // machines whose report as empty may be on its way to the store
	publishedOffers     map[string]bool      // machines that are offered in the store: they may be taken at any time
	unneededRuns        map[TaskID]int       // by task: runs that go on or are being stopped, beside the one that the task has
	openStarts          openStarts           // starts without an answer that a later incarnation of their worker may carry out
	ownAnswers          answertime.Estimate  // answer times of all workers
	answerStatistics    *answertime.Statistics
	placeWaits          *placeWaits
	highestTokenStep    int64       // of the workers that were removed
	advice              adviceCalls // to the advice service
	adviceHistory       adviceHistory
	hold                roomHold        // workers that are kept free for a stage
	takenOffers         map[string]bool // machines whose offers are taken: they leave the pool
	lastMachineCapacity Resources       // mean capacity of the workers when last some were listed that had answered
	loadPeak            float64         // recent peak of the load, in machines; decays with peakHalfLife
	longLoadPeak        float64         // the same over a longer time, up to the usable machines; decays with longHalfLife
	ownMachines         int             // number of machines that belong to the pool; 0: not known
	toGiveUp            int             // number of machines that the pool has to give up
	loadPeakAt          time.Time
	shortSince          time.Time       // since when more work arrives than the pool can serve; zero: less arrives
	throttlesPlannedAt  time.Time       // when throttles were last planned
	startCandidates     startCandidates // of the plan that is being made
	waitingStages       []*stage        // those that had no room in the last plan, in the order of their ranks
	ranking             jobRanking
	shortArrivals       arrivalRate      // over shortArrivalWindow
	longArrivals        arrivalRate      // over longArrivalWindow
	pendingCancels      map[string]int64 // by job ID: revisions of cancellations that were received before their jobs
	endedJobs           map[string]bool  // jobs that have ended and were removed from jobs lately
	endedOrder          []endedJob       // the same in the order of their removal
	events              []Event          // not yet returned by TakeEvents
	quota               *quota.Book      // what runs for each team
	teams               *teams.Order     // of those that share the pool
	doorReport          door.Report      // the last one
	machinesAsked       int              // by the last capacity report
	oldest              *job             // the one that goes first as it has waited for too long; nil: none
}

// NewPool returns the pool of service for the owner with the given fencing token.
// roster is the one that the former owner saved last: its workers may still run tasks
// of former owners.
func NewPool(service string, token int64, timing Timing, roster WorkerRoster, now time.Time) *Pool {
	p := &Pool{
		service: service, token: token, timing: timing, epoch: roster.Tenure + 1, takenAt: now,
		awaited: make(map[string]*awaitedWorker), jobs: make(map[string]*job), workers: make(map[string]*worker),
		durations: newDurations(), endedJobs: make(map[string]bool), unsavedJobs: make(map[*job]bool), unackedWorkers: make(map[*worker]bool), pendingCancels: make(map[string]int64), publishedOffers: make(map[string]bool), takenOffers: make(map[string]bool), emptyClaims: make(map[string]bool),
		openStarts: make(openStarts), answerStatistics: answertime.NewStatistics(), placeWaits: newPlaceWaits(), adviceHistory: make(adviceHistory),
		quota: quota.NewBook(), teams: teams.NewOrder(),
		unneededRuns:  make(map[TaskID]int),
		shortArrivals: arrivalRate{window: shortArrivalWindow}, longArrivals: arrivalRate{window: longArrivalWindow},
	}
	p.formerOrdersEndAt = now
	if !roster.Released || !roster.Quiet {
		p.formerOrdersEndAt = now.Add(timing.FormerOwnerLease)
	}
	p.formerRunsEndAt = p.formerOrdersEndAt.Add(timing.longest())
	for i := range roster.Workers {
		p.awaited[roster.Workers[i].ID] = newAwaitedWorker(&roster.Workers[i])
	}
	p.inheritOpenStarts(roster.OpenStarts, now)
	return p
}

// Token returns the owner's fencing token.
func (p *Pool) Token() int64 { return p.token }

// Service returns the service whose workers belong to the pool.
func (p *Pool) Service() string { return p.service }

// Counts returns the pool's totals so far. It can be called on an unusable pool, as totals
// decide nothing.
func (p *Pool) Counts() Counts {
	p.mu.mu.Lock()
	defer p.mu.mu.Unlock()
	return p.counts
}
