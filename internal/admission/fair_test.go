package admission_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
)

// now is the time of all decisions under test.
var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testWork is the service time of every request.
const testWork = 40 * time.Millisecond

func shares() admission.Shares {
	return admission.Shares{
		Classes: [fleet.ClassCount]float64{fleet.Background: 2, fleet.Normal: 3, fleet.Urgent: 5},
		Teams:   map[string]float64{"herders": 12, "inspectors": 8, "reconciliation": 4},
	}
}

func ticket(class fleet.Class, team string, r admission.Receiver) *admission.Ticket {
	return &admission.Ticket{Class: class, Team: team, Arrived: now, Receiver: r}
}

// serve starts and ends n waiting requests one after another and passes each
// ticket to count.
func serve(f *admission.Fair, n int, count func(*admission.Ticket)) {
	for range n {
		t, charge := f.Next(now)
		count(t)
		f.Finish(t.Class, t.Team, charge, testWork)
	}
}

var _ = Describe("the fair order", func() {
	It("serves overloading classes by their weights", func() {
		f := admission.NewFair(shares(), admission.Limits{Requests: 10000, Bytes: 1})
		for range 1000 {
			for _, c := range fleet.Classes() {
				f.Offer(ticket(c, "herders", &testReceiver{}), 8, now)
			}
		}
		var served [fleet.ClassCount]int
		serve(f, 1000, func(t *admission.Ticket) { served[t.Class]++ })
		Expect(served[fleet.Urgent]).To(BeNumerically("~", 500, 5))
		Expect(served[fleet.Normal]).To(BeNumerically("~", 300, 5))
		Expect(served[fleet.Background]).To(BeNumerically("~", 200, 5))
	})

	It("serves overloading teams of a class by their weights", func() {
		f := admission.NewFair(shares(), admission.Limits{Requests: 10000, Bytes: 1})
		for range 1000 {
			f.Offer(ticket(fleet.Normal, "herders", &testReceiver{}), 8, now)
			f.Offer(ticket(fleet.Normal, "inspectors", &testReceiver{}), 8, now)
		}
		served := 0
		serve(f, 500, func(t *admission.Ticket) {
			if t.Team == "herders" {
				served++
			}
		})
		Expect(served).To(BeNumerically("~", 300, 5))
	})

	It("serves the first request of an idle team before the queue of an overloading one", func() {
		f := admission.NewFair(shares(), admission.DefaultLimits)
		for range 100 {
			f.Offer(ticket(fleet.Urgent, "herders", &testReceiver{}), 8, now)
		}
		serve(f, 20, func(*admission.Ticket) {})
		f.Offer(ticket(fleet.Background, "reconciliation", &testReceiver{}), 8, now)
		t, _ := f.Next(now)
		Expect(t.Class).To(Equal(fleet.Background))
	})

	It("refuses at once requests that cannot be answered before their deadline", func() {
		f := admission.NewFair(shares(), admission.DefaultLimits)
		charge, _ := f.Start(fleet.Normal, "herders", true)
		f.Finish(fleet.Normal, "herders", charge, testWork)
		verdicts := make(map[admission.Verdict]int)
		for range 100 {
			t := ticket(fleet.Normal, "herders", &testReceiver{})
			t.Deadline = now.Add(10 * testWork)
			verdicts[f.Offer(t, 1, now)]++
		}
		Expect(verdicts[admission.Queue]).To(BeNumerically("~", 8, 1))
		Expect(verdicts[admission.TooLate]).To(BeNumerically("~", 92, 1))
	})

	It("sheds requests whose deadline passes while they wait", func() {
		f, r := admission.NewFair(shares(), admission.DefaultLimits), &testReceiver{}
		t := ticket(fleet.Normal, "herders", r)
		t.Deadline = now.Add(testWork)
		f.Offer(t, 1, now)
		f.Refresh(8, 8, now.Add(testWork))
		Expect(r.shed).To(Equal(1))
		Expect(f.Len()).To(BeZero())
	})

	// Guards against starting work that breaks off at its deadline and blocks its slot.
	It("sheds requests that have become too late to be answered instead of starting them", func() {
		f, late := admission.NewFair(shares(), admission.DefaultLimits), &testReceiver{}
		charge, _ := f.Start(fleet.Normal, "herders", true)
		f.Finish(fleet.Normal, "herders", charge, testWork)
		for _, timeout := range []time.Duration{10 * testWork, 20 * testWork} {
			t := ticket(fleet.Normal, "herders", late)
			t.Deadline = now.Add(timeout)
			Expect(f.Offer(t, 1, now)).To(Equal(admission.Queue))
		}
		t, _ := f.Next(now.Add(10*testWork - testWork/2))
		Expect(late.shed).To(Equal(1))
		Expect(t.Deadline).To(Equal(now.Add(20 * testWork)))
	})

	It("bounds the queue by class and team, so that overload by one leaves the others their room", func() {
		f := admission.NewFair(shares(), admission.Limits{Requests: 240, Bytes: 1 << 20})
		queued := 0
		for range 1000 {
			if f.Offer(ticket(fleet.Normal, "herders", &testReceiver{}), 8, now) == admission.Queue {
				queued++
			}
		}
		Expect(queued).To(Equal(36)) // 240 × 3/10 × 12/24
		Expect(f.Offer(ticket(fleet.Normal, "inspectors", &testReceiver{}), 8, now)).To(Equal(admission.Queue))
		big := ticket(fleet.Normal, "inspectors", &testReceiver{})
		big.Bytes = 1 << 20
		Expect(f.Offer(big, 8, now)).To(Equal(admission.QueueFull))
	})

	It("charges the measured work, whatever was expected", func() {
		f := admission.NewFair(shares(), admission.Limits{Requests: 10000, Bytes: 1})
		for range 1000 {
			f.Offer(ticket(fleet.Urgent, "herders", &testReceiver{}), 8, now)
			f.Offer(ticket(fleet.Background, "reconciliation", &testReceiver{}), 8, now)
		}
		var worked [fleet.ClassCount]time.Duration
		for range 600 {
			t, charge := f.Next(now)
			took := testWork
			if t.Class == fleet.Background {
				took *= 10
			}
			worked[t.Class] += took
			f.Finish(t.Class, t.Team, charge, took)
		}
		Expect(worked[fleet.Urgent].Seconds() / worked[fleet.Background].Seconds()).To(BeNumerically("~", 2.5, 0.2))
	})
})

// testSlots is how many slots the orders have in the tests of limits.
const testSlots = 10

// keepBusy starts n requests of a class that do not end, so that slots are reserved
// for it, and refreshes f 50 times within a second, calling each before every
// refresh.
func keepBusy(f *admission.Fair, class fleet.Class, n int, each func()) {
	for range n {
		f.Start(class, "herders", true)
	}
	for i := range 50 {
		each()
		f.Refresh(testSlots, testSlots, now.Add(time.Duration(i)*20*time.Millisecond))
	}
}

var _ = Describe("the limits of the fair order", func() {
	It("let a team with a load below its share work off its backlog", func() {
		f, i := admission.NewFair(shares(), admission.DefaultLimits), 0
		keepBusy(f, fleet.Urgent, 5, func() {
			if i++; i%2 == 0 { // 25 requests a second of 40 ms each keep one slot busy
				f.Offer(ticket(fleet.Normal, "inspectors", &testReceiver{}), testSlots, now)
			}
		})
		Expect(f.Len()).To(Equal(25))
		started := 0
		for t, _ := f.Next(now); t != nil && started < testSlots; t, _ = f.Next(now) {
			started++
		}
		Expect(started).To(Equal(testSlots))
	})

	It("limit an overloading team, and let it start a request as soon as one of its own ends", func() {
		f := admission.NewFair(shares(), admission.DefaultLimits)
		keepBusy(f, fleet.Urgent, 5, func() {
			for range 20 {
				f.Offer(ticket(fleet.Normal, "inspectors", &testReceiver{}), testSlots, now)
			}
		})
		started, charge := 0, time.Duration(0)
		for t, c := f.Next(now); t != nil && started < testSlots; t, c = f.Next(now) {
			charge = c
			started++
		}
		Expect(started).To(BeNumerically("<=", 5)) // the slots that are not reserved for others: its share of 3 and one deviation
		f.Finish(fleet.Normal, "inspectors", charge, testWork)
		t, _ := f.Next(now)
		Expect(t).NotTo(BeNil())
	})

	It("queue no more requests of an overloading team than its limit can serve before the deadline", func() {
		f := admission.NewFair(shares(), admission.DefaultLimits)
		charge, _ := f.Start(fleet.Urgent, "inspectors", true)
		f.Finish(fleet.Urgent, "inspectors", charge, testWork)
		offer := func() {
			for range 20 {
				t := ticket(fleet.Urgent, "inspectors", &testReceiver{})
				t.Deadline = now.Add(2 * time.Second)
				f.Offer(t, testSlots, now)
			}
		}
		keepBusy(f, fleet.Normal, 4, offer)
		limit := 5 + math.Sqrt(5) // its share of the ten slots and one deviation, as none of its requests runs
		left := 2*time.Second - 2*testWork
		Expect(f.Len()).To(BeNumerically("<=", int(limit*left.Seconds()/testWork.Seconds())+1))
		Expect(f.Len()).To(BeNumerically(">=", 200)) // at least what its guaranteed share can serve
	})
})

// BenchmarkStart measures the start and the end of a request with an empty queue.
func BenchmarkStart(b *testing.B) {
	f := admission.NewFair(shares(), admission.DefaultLimits)
	f.Refresh(8, 8, now)
	b.ReportAllocs()
	for range b.N {
		charge, _ := f.Start(fleet.Normal, "herders", false)
		f.Finish(fleet.Normal, "herders", charge, testWork)
	}
}
