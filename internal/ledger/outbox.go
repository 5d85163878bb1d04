package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/problem"
)

// Limits of the calls to one owner.
const (
	callInterval = 2 * time.Millisecond // between the starts of two calls; operations accumulate in it
	maxCalls     = 64                   // concurrent calls
)

// outbox holds the operations that are to be forwarded to one owner. mu guards
// all fields below it; it is not held during calls. An urgent operation is sent
// at once, or together with the other operations that arrive within callInterval
// of the latest call.
type outbox struct {
	owner    string
	peers    Peers
	clock    clockwork.Clock
	delay    time.Duration // how long operations that are not urgent wait
	timeout  time.Duration // of a call
	counters *Counters

	mu              sync.Mutex
	waiting         waitlist
	calls           int  // number of calls in progress
	intervalRunning bool // callInterval has not passed since the start of the latest call
}

// put adds p to the waiting operations and ensures that a call will send it. It
// returns an error of kind Overloaded when too many operations wait.
func (o *outbox) put(p *pending) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting.operations) >= maxWaiting {
		return errTooManyWaiting()
	}
	o.waiting.add(p)
	o.schedule()
	return nil
}

// schedule starts a call or the timer if needed. The caller holds mu.
func (o *outbox) schedule() {
	if o.calls < maxCalls && !o.intervalRunning && o.waiting.ready() {
		group := o.waiting.take(maxBatchBytes)
		o.calls++
		o.intervalRunning = true
		o.clock.AfterFunc(callInterval, o.intervalElapsed)
		go o.call(group)
	}
	if o.waiting.needsTimer() {
		o.clock.AfterFunc(o.delay, o.delayElapsed)
	}
}

func (o *outbox) intervalElapsed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.intervalRunning = false
	o.schedule()
}

func (o *outbox) delayElapsed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting.delayElapsed()
	o.schedule()
}

// call forwards group and resolves its operations. Only the timeout ends the
// call early: to abort it when one caller's context ends would break the session
// that all calls to the owner share. After an error, the operations that still
// wait for this owner fail with the same error.
func (o *outbox) call(group []*pending) {
	group = dropCancelled(group)
	err := o.forward(group)
	o.mu.Lock()
	o.calls--
	var unsent []*pending
	if err != nil {
		unsent = o.waiting.clear()
	}
	o.schedule()
	o.mu.Unlock()
	for _, p := range unsent {
		p.resolve(Verdict{}, err)
	}
}

func (o *outbox) forward(group []*pending) error {
	if len(group) == 0 {
		return nil
	}
	operations := make([]Record, len(group))
	for i, p := range group {
		operations[i] = p.operation
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	o.counters.add(countForwardCalls)
	replies, err := o.peers.Forward(ctx, o.owner, operations)
	if err == nil && len(replies) != len(group) {
		err = problem.New(problem.Interrupted, problem.StepPeerCall, o.owner, "the number of replies differs from the number of operations")
	}
	for i, p := range group {
		if err != nil {
			p.resolve(Verdict{}, err)
			continue
		}
		p.resolve(replies[i].Verdict, replies[i].Err)
	}
	return err
}
