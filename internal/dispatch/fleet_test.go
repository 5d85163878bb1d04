package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
)

// Sizes and times of the fleet in the tests.
const (
	testService   = "tags"
	testSlots     = 8
	testUpstreams = 3
	testTimeout   = 2 * time.Second
	testStoreTTL  = 5 * time.Second
	testCallLimit = 2 * time.Second
	testRound     = 100 * time.Millisecond
)

// testFleet simulates entries, upstreams, the store and a network that loses
// messages, in virtual time.
type testFleet struct {
	now           time.Time
	random        *rand.Rand
	lag           time.Duration // between two reads of the store by an entry
	configuration *configuration.Configuration
	instances     []fleet.Instance
	nodes         []*testNode                      // one for each entry: its latest process
	orphans       []*testRun                       // requests of ended processes that still run on upstreams
	confirmed     map[membership.EntryID]time.Time // when each registration was last renewed
	cuts          map[[2]membership.EntryID]bool   // pairs of entries without a connection
	calls         []*testCall
	running       map[string]int // requests by upstream
	maxRunning    int            // largest number of requests that ran at once on one upstream
	history       []string       // steps, for the message of a failure
	lateness      bool           // some messages arrive seconds late
	started       int
	shed          int // requests that were refused or not started by their deadline
	nextRun       uint64
}

func newTestFleet(entries int, seed uint64) *testFleet {
	f := &testFleet{
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:    rand.New(rand.NewPCG(seed, 1)),
		lag:       300 * time.Millisecond,
		confirmed: make(map[membership.EntryID]time.Time),
		cuts:      make(map[[2]membership.EntryID]bool),
		running:   make(map[string]int),
		configuration: &configuration.Configuration{
			Teams:    []configuration.Team{{Name: "herders", Weight: 1}},
			Services: []configuration.Service{{Name: testService, Slots: testSlots, Timeout: testTimeout}},
		},
	}
	for i := range testUpstreams {
		f.instances = append(f.instances, fleet.Instance{ID: fmt.Sprintf("tags-%d", i+1), Service: testService, AvailabilityZone: "az-1"})
	}
	for i := range entries {
		f.nextRun++
		f.nodes = append(f.nodes, newTestNode(f, membership.EntryID(fmt.Sprintf("entry-%d", i+1)), f.nextRun))
		f.nodes[i].noPredecessor = true
		f.confirmed[f.nodes[i].id] = f.now
	}
	return f
}

// advance simulates a time of d in steps of a quarter round.
func (f *testFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(testRound / 4)
		f.renew()
		f.deliver()
		f.orphans = slices.DeleteFunc(f.orphans, func(r *testRun) bool {
			over := !f.now.Before(r.ends)
			if over {
				f.end(r)
			}
			return over
		})
		for _, n := range f.nodes {
			if !n.dead {
				n.step()
			}
		}
	}
}

// note adds a step to the history.
func (f *testFleet) note(format string, values ...any) {
	f.history = append(f.history, f.now.Format("05.000 ")+fmt.Sprintf(format, values...))
}

// renew renews the registrations of the entries that reach the store.
func (f *testFleet) renew() {
	for _, n := range f.nodes {
		if !n.dead && !n.cutStore && !n.leaving {
			f.confirmed[n.id] = f.now
		}
	}
}

// registered returns the entries that are registered in the store, and n unless
// it is leaving.
func (f *testFleet) registered(n *testNode) []membership.EntryID {
	var ids []membership.EntryID
	for id, last := range f.confirmed {
		if id != n.id && f.now.Sub(last) < testStoreTTL {
			ids = append(ids, id)
		}
	}
	if !n.leaving {
		ids = append(ids, n.id)
	}
	slices.Sort(ids)
	return ids
}

func (f *testFleet) delay() time.Duration {
	return time.Duration(f.random.IntN(150)) * time.Millisecond
}

// send starts a call with o, which may be lost or late.
func (f *testFleet) send(from *testNode, o dispatch.OutgoingBatch) {
	c := &testCall{from: from, batch: o, givesUp: f.now.Add(testCallLimit)}
	if !f.cut(from.id, o.To) {
		c.arrives = f.now.Add(f.delay())
		c.answered = c.arrives.Add(f.delay())
		if f.lateness && f.random.IntN(20) == 0 { // late, but not lost
			c.arrives = c.arrives.Add(time.Duration(f.random.IntN(4000)) * time.Millisecond)
			c.answered = c.arrives.Add(f.delay())
		}
	}
	f.calls = append(f.calls, c)
}

// deliver advances all calls and drops those that are over.
func (f *testFleet) deliver() {
	for _, c := range f.calls {
		f.deliverCall(c)
	}
	f.calls = slices.DeleteFunc(f.calls, func(c *testCall) bool {
		return c.done && (c.served || c.arrives.IsZero())
	})
}

// deliverCall delivers the batch or the answer of c when its time has come.
func (f *testFleet) deliverCall(c *testCall) {
	if !c.served && !c.arrives.IsZero() && !f.now.Before(c.arrives) {
		c.served = true
		if to := f.node(c.batch.To); !to.dead {
			received := wire.ToSlotBatch(string(c.from.id), wire.FromSlotBatch(c.batch.Batch))
			loans, _ := to.placer.AnswerBatch(received, f.now)
			c.loans = wire.ToSlotLoans(c.batch.Batch.Reports, wire.FromSlotLoans(received.Reports, loans))
		}
	}
	if c.done || c.from.dead {
		c.done = true
		return
	}
	if c.loans != nil && !f.now.Before(c.answered) && !f.cut(c.from.id, c.batch.To) && f.now.Before(c.givesUp) {
		c.done = true
		c.from.placer.ApplyLoans(c.batch, c.loans, f.now)
	} else if !f.now.Before(c.givesUp) {
		c.done = true
		c.from.placer.BatchLost(c.batch)
	}
}

func (f *testFleet) node(id membership.EntryID) *testNode {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (f *testFleet) cut(a, b membership.EntryID) bool {
	return f.cuts[[2]membership.EntryID{a, b}] || f.cuts[[2]membership.EntryID{b, a}]
}

func (f *testFleet) begin(r *testRun) {
	f.running[r.upstream]++
	f.started++
	f.maxRunning = max(f.maxRunning, f.running[r.upstream])
}

func (f *testFleet) end(r *testRun) { f.running[r.upstream]-- }

// crash ends the i-th entry's process at once; its requests still run on the
// upstreams.
func (f *testFleet) crash(i int) {
	f.note("crash %d", i)
	n := f.nodes[i]
	if n.dead {
		return
	}
	n.dead = true
	f.orphans = append(f.orphans, n.running...)
	n.running = nil
}

// restart replaces the i-th entry's process by a new one with the same ID.
func (f *testFleet) restart(i int) {
	f.crash(i)
	f.note("restart %d", i)
	f.nextRun++
	id := f.nodes[i].id
	last, ok := f.confirmed[id]
	f.nodes[i] = newTestNode(f, id, f.nextRun)
	f.nodes[i].noPredecessor = !ok || f.now.Sub(last) >= testStoreTTL
}

// leave stops the i-th entry gracefully: its requests end, then it returns its
// slots.
func (f *testFleet) leave(i int) {
	n := f.nodes[i]
	f.advance(testTimeout)
	n.leaving = true
	delete(f.confirmed, n.id)
	f.advance(time.Second)
	f.crash(i)
}

// mostRunning offers requests of the longest time to a node in each round of
// four timeouts, and returns how many ran at once, at most.
func (f *testFleet) mostRunning(n *testNode, requests int) int {
	most := 0
	for range 4 * testTimeout / testRound {
		for range requests / 4 {
			n.offer(testTimeout)
		}
		f.advance(testRound)
		most = max(most, len(n.running))
	}
	return most
}

func contains(ids []membership.EntryID, id membership.EntryID) bool { return slices.Contains(ids, id) }
