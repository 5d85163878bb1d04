package ledger_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonbay/internal/problem"
)

// faults holds the faults of a run that are active. mu guards all fields. Random
// choices are drawn from the seed in the order of the calls.
type faults struct {
	mu               sync.Mutex
	random           *rand.Rand
	outage           bool
	maxDelay         time.Duration            // largest delay of a store call, once before and once after its effect
	lostShare        float64                  // share of writes whose response is lost
	paused           map[string]chan struct{} // by entry; closed when the entry resumes
	killed           map[string]bool
	cutOff           map[string]bool // entries that cannot communicate with other entries
	outageAfterWrite bool            // the next write takes effect, its response is lost and an outage begins
	failAnswers      bool            // every read of a large answer fails
	noVersionCheck   bool            // removes a safeguard: the store checks no versions
	abandonedCalls   int             // number of calls between entries whose caller gave up
}

func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 1)), paused: map[string]chan struct{}{}, killed: map[string]bool{}, cutOff: map[string]bool{}}
}

// change calls change with the lock held.
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

// waitPaused blocks while entry is paused, like a stopped process, and reports
// whether the entry was killed.
func (f *faults) waitPaused(entry string) (killed bool) {
	f.mu.Lock()
	c := f.paused[entry]
	killed = f.killed[entry]
	f.mu.Unlock()
	if c != nil {
		<-c
		return f.waitPaused(entry)
	}
	return killed
}

// delay sleeps for one millisecond plus a random time of up to maxDelay.
func (f *faults) delay() {
	f.mu.Lock()
	d := time.Millisecond + time.Duration(f.random.Int64N(int64(f.maxDelay)+1))
	f.mu.Unlock()
	time.Sleep(d)
}

func (f *faults) chance(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

func (f *faults) get(read func(*faults) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read(f)
}

// before applies the faults that a store call of entry meets before it takes
// effect. When it returns an error the call has no effect.
func (f *faults) before(entry string) error {
	if f.waitPaused(entry) {
		return problem.New(problem.Unavailable, problem.StepConnect, entry, "killed")
	}
	f.delay()
	if f.get(func(f *faults) bool { return f.outage }) {
		return problem.New(problem.Unavailable, problem.StepConnect, "platform", "outage")
	}
	return nil
}

// after applies the faults that a store call of entry meets after it took effect.
// When it returns an error the response is lost.
func (f *faults) after(ctx context.Context, entry string, write bool) error {
	f.delay()
	lost := write && f.chance(f.currentLostShare())
	f.change(func(f *faults) {
		if write && f.outageAfterWrite {
			f.outage, lost = true, true
		}
	})
	if f.waitPaused(entry) || lost {
		return problem.New(problem.Interrupted, problem.StepReceive, "platform", "response lost")
	}
	if ctx.Err() != nil {
		return problem.Wrap(problem.Timeout, problem.StepReceive, "platform", ctx.Err())
	}
	return nil
}

func (f *faults) currentLostShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostShare
}
