package dispatch_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// faultRuns is the number of random sequences of faults that are run.
const faultRuns = 250

var _ = Describe("slots shared among entries", func() {
	It("never exceed an upstream's capacity through lost messages, partitions, restarts and expired registrations", func() {
		Expect(setChecks(faultRuns)).To(Succeed())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newTestFleet(4, rapid.Uint64().Draw(t, "seed"))
			f.lateness = true
			f.advance(time.Second)
			entry := rapid.IntRange(0, len(f.nodes)-1)
			t.Repeat(map[string]func(*rapid.T){
				"load": func(t *rapid.T) {
					n := f.nodes[entry.Draw(t, "entry")]
					f.note("load %s", n.id)
					for range rapid.IntRange(1, 30).Draw(t, "requests") {
						if !n.dead && !n.leaving {
							n.offer(time.Duration(rapid.IntRange(10, 2000).Draw(t, "millis")) * time.Millisecond)
						}
					}
				},
				"wait": func(t *rapid.T) {
					f.advance(time.Duration(rapid.IntRange(25, 1500).Draw(t, "millis")) * time.Millisecond)
				},
				"wait on": func(t *rapid.T) { f.advance(time.Duration(rapid.IntRange(2, 12).Draw(t, "seconds")) * time.Second) },
				"crash":   func(t *rapid.T) { f.crash(entry.Draw(t, "entry")) },
				"restart": func(t *rapid.T) { f.restart(entry.Draw(t, "entry")) },
				"cut": func(t *rapid.T) {
					a, b := f.nodes[entry.Draw(t, "a")].id, f.nodes[entry.Draw(t, "b")].id
					f.cuts[[2]membershipID{a, b}] = a != b
					f.note("cut %s %s", a, b)
				},
				"heal": func(*rapid.T) { clear(f.cuts); f.note("heal") },
				"cut store": func(t *rapid.T) {
					n := f.nodes[entry.Draw(t, "entry")]
					n.cutStore = true
					f.note("cut store %s", n.id)
				},
				"heal store": func(*rapid.T) {
					for _, n := range f.nodes {
						n.cutStore = false
					}
					f.note("heal store")
				},
				"": func(t *rapid.T) {
					if f.maxRunning > testSlots {
						t.Fatalf("%d requests run at once on one upstream:\n%s", f.maxRunning, strings.Join(f.history, "\n"))
					}
				},
			})
		})
	})

	It("are lent to one busy entry while the others are idle, and then to another", func() {
		f := newTestFleet(3, 1)
		f.advance(time.Second)
		Expect(f.mostRunning(f.nodes[0], testSlots*testUpstreams)).To(Equal(testSlots * testUpstreams))
		f.advance(12 * time.Second) // two routine reports
		Expect(f.mostRunning(f.nodes[1], testSlots*testUpstreams)).To(Equal(testSlots * testUpstreams))
		Expect(f.maxRunning).To(Equal(testSlots))
	})

	It("serve requests while the home of every upstream is lost", func() {
		f := newTestFleet(3, 2)
		f.advance(time.Second)
		f.crash(0)
		f.advance(100 * time.Millisecond)
		before := f.started
		for range 40 {
			f.nodes[1].offer(50 * time.Millisecond)
			f.nodes[2].offer(50 * time.Millisecond)
			f.advance(100 * time.Millisecond)
		}
		Expect(f.started - before).To(Equal(80))
		Expect(f.maxRunning).To(BeNumerically("<=", testSlots))
	})

	It("are not used by an entry that reaches neither the store nor its peers, since others may get them", func() {
		f := newTestFleet(3, 4)
		f.advance(10 * time.Second)
		f.nodes[0].cutStore = true
		for _, n := range f.nodes[1:] {
			f.cuts[[2]membershipID{f.nodes[0].id, n.id}] = true
		}
		f.advance(20 * time.Second)
		Expect(f.mostRunning(f.nodes[1], testSlots*testUpstreams)).To(Equal(testSlots * testUpstreams))
		Expect(f.mostRunning(f.nodes[0], testSlots*testUpstreams)).To(BeZero())
		Expect(f.maxRunning).To(Equal(testSlots))
	})

	It("stay in use for the requests of earlier processes when every entry is killed and restarted at once", func() {
		f := newTestFleet(3, 5)
		f.advance(10 * time.Second)
		Expect(f.mostRunning(f.nodes[0], testSlots*testUpstreams)).To(Equal(testSlots * testUpstreams))
		for i := range f.nodes {
			f.restart(i)
		}
		for _, n := range f.nodes {
			f.mostRunning(n, testSlots)
		}
		Expect(f.maxRunning).To(Equal(testSlots))
	})

	It("move to the other entries in a rolling restart", func() {
		f := newTestFleet(3, 3)
		f.advance(20 * time.Second)
		for i := range f.nodes {
			f.leave(i)
			f.restart(i)
			before := f.started
			f.advance(time.Second)
			for range testSlots * testUpstreams {
				f.nodes[i].offer(100 * time.Millisecond)
			}
			f.advance(testTimeout)
			Expect(f.started-before).To(Equal(testSlots*testUpstreams), "entry %d", i+1)
		}
		Expect(f.maxRunning).To(BeNumerically("<=", testSlots))
	})
})
