package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	simTeam     = "team"
	simWorkers  = 6
	simCapacity = 16000
	simLease    = 6 * time.Second
	simLate     = 12 * time.Second
	simTick     = 20 * time.Millisecond
	largestTask = 4000
	configDelay = time.Second // after which all owners know a configuration
)

var simPools = []string{"a", "b", "c", "d"}

// sim plays several pools that share one team's cap, in virtual time.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	store     *simStore
	pools     []*simPool
	caps      []int       // one after the other
	changedAt []time.Time // when each of them was acknowledged
	lateShare float64     // of starts that are carried out once more
	cutShare  float64     // of runs whose worker is cut off until their lease has ended
	calmFrom  time.Time   // since then nothing has failed
	broken    string      // the first rule that was broken
	started   int
	longest   time.Duration // wait of a pool whose team was under half of its cap
}

func newSim(seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), caps: []int{80000}}
	s.store = &simStore{rng: s.rng}
	s.changedAt = []time.Time{s.now}
	for i, name := range simPools {
		s.pools = append(s.pools, &simPool{sim: s, index: i, name: name, runs: map[*simRun]bool{}, takeOver: s.now})
	}
	return s
}

func simWorker(w int) string { return strconv.Itoa(w) }

// capKnownTo returns the cap by the configuration that the owner of a pool has: each learns
// of a change up to a second later.
func (s *sim) capKnownTo(pool int, now time.Time) int {
	i := len(s.caps) - 1
	for i > 0 && now.Sub(s.changedAt[i]) < time.Duration(pool)*configDelay/time.Duration(len(simPools)) {
		i--
	}
	return s.caps[i]
}

// check checks after a start that what runs is within the highest cap that may be in force,
// or may have been when it was ordered. The users' margin of a tenth and one task is left to
// starts that are carried out late.
func (s *sim) check(p *simPool, ordered time.Time) {
	s.started++
	limit := 0
	for i := range s.caps {
		if i+1 == len(s.caps) || !s.changedAt[i+1].Add(configDelay).Before(ordered) {
			limit = max(limit, s.caps[i])
		}
	}
	sum := 0
	for _, p := range s.pools {
		sum += p.running(s.now)
	}
	if s.lateShare > 0 {
		limit += limit/10 + largestTask
	}
	if sum > limit && s.broken == "" {
		s.broken = fmt.Sprintf("at %v a start in pool %s makes %d run, the cap is %d", s.elapsed(), p.name, sum, limit)
	}
}

func (s *sim) elapsed() time.Duration { return s.now.Sub(s.changedAt[0]) }

// tick plays one tick. demand adds tasks, faults brings failures about.
func (s *sim) tick(demand, faults func()) {
	s.now = s.now.Add(simTick)
	faults()
	demand()
	s.store.tick(s.now)
	for _, p := range s.pools {
		p.tick(s.now)
	}
	s.checkWaits()
}

// checkWaits records how long pools wait whose team has under half of its cap, in calm.
func (s *sim) checkWaits() {
	sum := 0 // as the owners count it: they cannot know earlier what has ended on a worker that is cut off
	for _, p := range s.pools {
		if p.owner != nil {
			sum += p.owner.book.Demands()[simTeam].Used.MilliCPU
		}
	}
	for _, p := range s.pools {
		limit := s.caps[len(s.caps)-1]
		fits := slices.ContainsFunc(p.waiting, func(t simTask) bool { return t.n*t.each <= limit }) &&
			p.owner != nil && p.owner.book.Waiting() && sum < limit/2 && s.now.Sub(s.calmFrom) > 4*time.Second
		switch {
		case !fits:
			p.waitedAt = time.Time{}
		case p.waitedAt.IsZero():
			p.waitedAt = s.now
		default:
			s.longest = max(s.longest, s.now.Sub(p.waitedAt))
		}
	}
}
