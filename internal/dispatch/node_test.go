package dispatch_test

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/request"
	"persimmonbay/internal/slots"
)

// testNode is one run of an entry process.
type testNode struct {
	fleet    *testFleet
	id       membership.EntryID
	placer   *dispatch.Placer
	running  []*testRun
	gone     map[membership.EntryID]time.Time
	seen     time.Time // when it last read the store
	cutStore bool
	dead     bool
	leaving  bool
	clean    bool // its entry was not registered when it began
	round    int
}

func newTestNode(f *testFleet, id membership.EntryID, incarnation uint64) *testNode {
	n := &testNode{fleet: f, id: id, gone: make(map[membership.EntryID]time.Time)}
	n.placer = dispatch.NewPlacer(slots.Holder{Entry: id, Incarnation: incarnation}, "az-1", f.now,
		func(s admission.Shares) admission.Order { return admission.NewFair(s, admission.DefaultLimits) })
	n.placer.Configure(f.configuration)
	n.placer.SetInstances(testService, f.instances, f.now)
	return n
}

// offer asks for one request's turn.
func (n *testNode) offer(work time.Duration) *testRun {
	r := &testRun{node: n, work: work}
	r.ticket = admission.Ticket{Team: "herders", Arrived: n.fleet.now, Deadline: n.fleet.now.Add(testTimeout), Receiver: r}
	switch start, verdict := n.placer.Acquire(testService, &r.ticket, n.fleet.now); verdict {
	case admission.Started:
		r.begin(start)
	case admission.Queue:
	default:
		r.Shed()
	}
	return r
}

// step ends what is over and does one round.
func (n *testNode) step() {
	now := n.fleet.now
	kept := n.running[:0]
	var over []*testRun
	for _, r := range n.running {
		if now.Before(r.ends) {
			kept = append(kept, r)
			continue
		}
		over = append(over, r)
	}
	n.running = kept
	for _, r := range over {
		n.fleet.end(r)
		n.placer.Release(testService, dispatch.End{Upstream: r.upstream, Class: r.ticket.Class, Team: r.ticket.Team, Charge: r.charge,
			Feedback: request.Feedback{Sent: true, Answered: true, Took: r.work}}, now)
	}
	n.look()
	n.placer.Tick(now)
	n.round++
	if n.round%4 != 0 {
		return
	}
	if n.leaving {
		n.placer.ReturnIdle()
	}
	for _, o := range n.placer.NextBatches(now, n.round%200 == 0) {
		n.fleet.send(n, o)
	}
}

// look reads the store, unless the node is cut off from it.
func (n *testNode) look() {
	now := n.fleet.now
	if !n.cutStore && (n.seen.IsZero() || now.Sub(n.seen) >= n.fleet.lag) {
		n.seen = now
		members := n.fleet.registered(n)
		for _, m := range members {
			n.gone[m] = now
		}
		gone := make(map[membership.EntryID]time.Time)
		for id, last := range n.gone {
			if !contains(members, id) && id != n.id {
				gone[id] = last
			}
		}
		n.placer.SetView(slots.View{Members: members, LastSeen: gone, Clean: n.clean}, now)
	}
	n.placer.SetConfirmedUntil(n.seen.Add(testStoreTTL/2), now)
}
