package places_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/places"
)

var _ = Describe("a task with room away from its rack", func() {
	const ms = time.Millisecond
	// question returns a task of 1 s near its data and 1.5 s elsewhere, with time to spare.
	question := func(free ...time.Duration) *places.Question {
		return &places.Question{Near: time.Second, Far: 1500 * ms, Learned: true, Free: free, Places: 1, Left: 10 * time.Second}
	}

	It("waits for a place that is free soon", func() {
		answer := places.Decide(question(200 * ms))
		Expect(answer.Wait).To(BeTrue())
		Expect(answer.For).To(Equal(200 * ms))
	})

	It("does not wait for one that is free only after the gain is spent, or never", func() {
		Expect(places.Decide(question(600 * ms)).Reason).To(Equal(places.NoGain))
		Expect(places.Decide(question()).Reason).To(Equal(places.NoPlace))
	})

	// A hot rack: all want the same, and each place serves one.
	It("counts those that wait before it", func() {
		q := question(100*ms, 200*ms, 900*ms)
		q.Ahead = 1
		Expect(places.Decide(q).For).To(Equal(200 * ms))
		q.Ahead = 2
		Expect(places.Decide(q).Wait).To(BeFalse())
	})

	// Waits for a rack that is always full only made others wait.
	It("waits less the more tasks find the rack full", func() {
		q := question(200 * ms)
		for range 100 {
			q.Pressure.Add(false)
		}
		Expect(places.Decide(q).Wait).To(BeFalse())
		for range 100 {
			q.Pressure.Add(true)
		}
		Expect(places.Decide(q).Wait).To(BeTrue())
	})

	It("waits for as many places as a gang needs", func() {
		q := question(100*ms, 200*ms, 900*ms)
		q.Places = 2
		Expect(places.Decide(q).For).To(Equal(200 * ms))
		q.Places = 3
		Expect(places.Decide(q).Wait).To(BeFalse())
	})

	It("trusts estimates of submitters for a shorter wait than run times that were measured", func() {
		q := question(300 * ms)
		q.Learned = false
		Expect(places.Decide(q).Wait).To(BeFalse())
		q.Free = []time.Duration{200 * ms}
		Expect(places.Decide(q).Wait).To(BeTrue())
	})

	It("never waits if it lasts, or if its job would miss its objective by a wait in vain", func() {
		q := question(100 * ms)
		q.Lasting = true
		Expect(places.Decide(q).Reason).To(Equal(places.Lasts))
		q = question(100 * ms)
		q.Left = 1600 * ms
		Expect(places.Decide(q).Reason).To(Equal(places.NearLimit))
	})

	It("waits if only the near place is in time", func() {
		q := question(100 * ms)
		q.Left = 1200 * ms
		Expect(places.Decide(q).Wait).To(BeTrue())
	})

	It("has a bound on its wait, whatever the estimates say again and again", func() {
		for _, near := range []time.Duration{10 * ms, time.Second, time.Minute} {
			q := &places.Question{Near: near, Far: 2 * near, Learned: true, Free: []time.Duration{ms}, Places: 1, Left: time.Hour}
			for places.Decide(q).Wait {
				q.Waited += 5 * ms
			}
			Expect(q.Waited).To(BeNumerically("<=", min(near, places.MaxWait)))
		}
	})
})
