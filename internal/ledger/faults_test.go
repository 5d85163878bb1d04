package ledger_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonbay/internal/problem"
)

// faults are what is wrong in a run. mu guards all fields; choices are drawn
// from the seed in the order in which the calls come.
type faults struct {
	mu             sync.Mutex
	random         *rand.Rand
	outage         bool
	slow           time.Duration            // most that a store call takes longer, before and after its effect
	lose           float64                  // share of writes whose answer is lost
	paused         map[string]chan struct{} // by entry, closed when it goes on
	killed         map[string]bool
	cut            map[string]bool // entries that no other reaches
	downAfterWrite bool            // the next write takes effect, its answer is lost and an outage begins
	failAnswers    bool            // no read of a large answer succeeds
	noCheck        bool            // sabotage: the store checks no version
	givenUp        int             // calls between entries that were given up
}

func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 1)), paused: map[string]chan struct{}{}, killed: map[string]bool{}, cut: map[string]bool{}}
}

// change applies one change under the lock.
func (f *faults) change(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faults) pause(entry string) {
	f.change(func(f *faults) {
		if f.paused[entry] == nil {
			f.paused[entry] = make(chan struct{})
		}
	})
}

func (f *faults) resume(entry string) {
	f.change(func(f *faults) {
		if c := f.paused[entry]; c != nil {
			close(c)
			delete(f.paused, entry)
		}
	})
}

// stop blocks while entry is paused, as a stopped process does, and reports
// whether it was killed.
func (f *faults) stop(entry string) (killed bool) {
	f.mu.Lock()
	c := f.paused[entry]
	killed = f.killed[entry]
	f.mu.Unlock()
	if c != nil {
		<-c
		return f.stop(entry)
	}
	return killed
}

// delay waits for part of the store's slowness.
func (f *faults) delay() {
	f.mu.Lock()
	d := time.Millisecond + time.Duration(f.random.Int64N(int64(f.slow)+1))
	f.mu.Unlock()
	time.Sleep(d)
}

func (f *faults) draws(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

func (f *faults) get(read func(*faults) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read(f)
}

// before is what happens to a store call of entry before it has an effect.
func (f *faults) before(entry string) error {
	if f.stop(entry) {
		return problem.New(problem.Unavailable, problem.StepConnect, entry, "killed")
	}
	f.delay()
	if f.get(func(f *faults) bool { return f.outage }) {
		return problem.New(problem.Unavailable, problem.StepConnect, "platform", "outage")
	}
	return nil
}

// after is what happens to it once it had.
func (f *faults) after(ctx context.Context, entry string, write bool) error {
	f.delay()
	lost := write && f.draws(f.loseShare())
	f.change(func(f *faults) {
		if write && f.downAfterWrite {
			f.outage, lost = true, true
		}
	})
	if f.stop(entry) || lost {
		return problem.New(problem.Interrupted, problem.StepReceive, "platform", "answer lost")
	}
	if ctx.Err() != nil {
		return problem.Wrap(problem.Timeout, problem.StepReceive, "platform", ctx.Err())
	}
	return nil
}

func (f *faults) loseShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lose
}
