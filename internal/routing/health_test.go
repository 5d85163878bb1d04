package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an upstream's health", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("ejects it after consecutive failures, but not after single ones", func() {
		var h Health
		for range 20 {
			Expect(h.Failed()).To(BeFalse())
			Expect(h.Succeeded(time.Millisecond, time.Millisecond)).To(BeFalse())
		}
		out := false
		for range 5 {
			out = h.Failed()
		}
		Expect(out).To(BeTrue())
	})

	It("ejects it after answers far slower than the service's mean", func() {
		var h Health
		out := false
		for range 8 {
			out = h.Succeeded(time.Second, 20*time.Millisecond)
		}
		Expect(out).To(BeTrue())
	})

	It("readmits it gradually, and later after each ejection", func() {
		var h Health
		h.Eject(now)
		Expect(h.MaxConcurrent(now.Add(time.Second), 8)).To(BeZero())
		back := now.Add(2 * time.Second)
		Expect(h.MaxConcurrent(back, 8)).To(Equal(1))
		h.Succeeded(time.Millisecond, time.Millisecond)
		Expect(h.MaxConcurrent(back, 8)).To(Equal(2))
		Expect(h.Failed()).To(BeTrue())
		h.Eject(back)
		Expect(h.Ejected(back.Add(3 * time.Second))).To(BeTrue())
		Expect(h.Ejected(back.Add(4 * time.Second))).To(BeFalse())
		for range 8 {
			h.Succeeded(time.Millisecond, time.Millisecond)
		}
		Expect(h.MaxConcurrent(back.Add(4*time.Second), 100)).To(Equal(100))
	})
})

var _ = Describe("the choice of an upstream", func() {
	It("stays in the zone while that has free slots, and then prefers most free slots", func() {
		all := []Candidate{{AvailabilityZone: "az-1", Free: 1}, {AvailabilityZone: "az-2", Free: 8}, {AvailabilityZone: "az-3", Free: 4}}
		Expect(Choose(all, "az-1", 0)).To(Equal(0))
		all[0].Free = 0
		Expect(Choose(all, "az-1", 0)).To(Equal(1))
		all[1].Free, all[2].Free = 0, 0
		Expect(Choose(all, "az-1", 0)).To(Equal(-1))
	})
})
