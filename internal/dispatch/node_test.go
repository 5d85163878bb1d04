package dispatch_test

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/request"
	"persimmonbay/internal/slots"
)

// testNode is one process of an entry.
type testNode struct {
	fleet         *testFleet
	id            membership.EntryID
	placer        *dispatch.Placer
	running       []*testRun
	lastSeen      map[membership.EntryID]time.Time // when other entries were last registered
	readAt        time.Time                        // when it last read the store
	cutStore      bool                             // it does not reach the store
	dead          bool
	leaving       bool
	noPredecessor bool // its entry was not registered when the process started
	steps         int
}

func newTestNode(f *testFleet, id membership.EntryID, incarnation uint64) *testNode {
	n := &testNode{fleet: f, id: id, lastSeen: make(map[membership.EntryID]time.Time)}
	n.placer = dispatch.NewPlacer(slots.Holder{Entry: id, Incarnation: incarnation}, "az-1", f.now,
		func(s admission.Shares) admission.Order { return admission.NewFair(s, admission.DefaultLimits) })
	n.placer.Configure(f.configuration)
	n.placer.SetInstances(testService, f.instances, f.now)
	return n
}

// offer offers one request that takes the time work on its upstream.
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

// step ends the requests whose time has passed, reads the store, and sends
// batches in each fourth step.
func (n *testNode) step() {
	now := n.fleet.now
	running := n.running[:0]
	var ended []*testRun
	for _, r := range n.running {
		if now.Before(r.ends) {
			running = append(running, r)
			continue
		}
		ended = append(ended, r)
	}
	n.running = running
	for _, r := range ended {
		n.fleet.end(r)
		n.placer.Release(testService, dispatch.Completion{Upstream: r.upstream, Class: r.ticket.Class, Team: r.ticket.Team, Charge: r.charge,
			Feedback: request.Feedback{Sent: true, Answered: true, Took: r.work}}, now)
	}
	n.readStore()
	n.placer.Tick(now)
	n.steps++
	if n.steps%4 != 0 {
		return
	}
	if n.leaving {
		n.placer.ReturnIdle()
	}
	for _, o := range n.placer.NextBatches(now, n.steps%200 == 0) {
		n.fleet.send(n, o)
	}
}

// readStore reads the store, unless the node is cut off from it.
func (n *testNode) readStore() {
	now := n.fleet.now
	if !n.cutStore && (n.readAt.IsZero() || now.Sub(n.readAt) >= n.fleet.lag) {
		n.readAt = now
		members := n.fleet.registered(n)
		for _, m := range members {
			n.lastSeen[m] = now
		}
		absent := make(map[membership.EntryID]time.Time)
		for id, last := range n.lastSeen {
			if !contains(members, id) && id != n.id {
				absent[id] = last
			}
		}
		n.placer.SetView(slots.View{Members: members, LastSeen: absent, NoPredecessor: n.noPredecessor}, now)
	}
	n.placer.SetConfirmedUntil(n.readAt.Add(testStoreTTL/2), now)
}
