package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/problem"
)

// Bounds of the calls to one owner.
const (
	callGap  = 2 * time.Millisecond // between the beginnings of two; operations gather in it
	maxCalls = 64                   // under way at once
)

// outbox holds the operations that are to be forwarded to one owner. mu guards
// all fields below it; it is not held during calls. An operation that may not
// wait goes at once, or with the others that came within callGap of the latest
// call.
type outbox struct {
	owner    string
	peers    Peers
	clock    clockwork.Clock
	delay    time.Duration // how long patient operations wait
	timeout  time.Duration // of a call
	counters *Counters

	mu      sync.Mutex
	waiting waitlist
	calls   int  // under way
	resting bool // callGap has not passed since the latest call
}

// put adds p and sees to it that a call will take it.
func (o *outbox) put(p *pending) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting.operations) >= maxWaiting {
		return tooManyWait()
	}
	o.waiting.add(p)
	o.arrange()
	return nil
}

// arrange starts calls or the timer when either is needed. mu is held.
func (o *outbox) arrange() {
	if o.calls < maxCalls && !o.resting && o.waiting.ready() {
		group := o.waiting.take(maxBatchBytes)
		o.calls++
		o.resting = true
		o.clock.AfterFunc(callGap, o.rested)
		go o.call(group)
	}
	if o.waiting.arm() {
		o.clock.AfterFunc(o.delay, o.fallDue)
	}
}

func (o *outbox) rested() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resting = false
	o.arrange()
}

func (o *outbox) fallDue() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting.fallDue()
	o.arrange()
}

// call forwards group and gives out the replies. It ends after timeout: to
// give it up because of one caller would break the session that all share.
func (o *outbox) call(group []*pending) {
	group = waited(group)
	err := o.forward(group)
	o.mu.Lock()
	o.calls--
	var stranded []*pending
	if err != nil {
		stranded = o.waiting.clear()
	}
	o.arrange()
	o.mu.Unlock()
	for _, p := range stranded {
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
		err = problem.New(problem.Interrupted, problem.StepPeerCall, o.owner, "not as many replies as operations")
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
