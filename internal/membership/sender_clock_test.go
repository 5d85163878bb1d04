package membership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
)

var _ = Describe("the time at which a heartbeat was sent", func() {
	start := time.Date(2026, 12, 7, 5, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	It("is that of its reading less what it took longer than the fastest one", func() {
		h := membership.NewHeartbeats()
		Expect(h.SentAt("b", 1, time.Second, at(1200*time.Millisecond))).To(Equal(at(1200 * time.Millisecond)))
		Expect(h.SentAt("b", 1, 2*time.Second, at(2*time.Second))).To(Equal(at(2 * time.Second)))
		Expect(h.SentAt("b", 1, 3*time.Second, at(5500*time.Millisecond))).To(Equal(at(3 * time.Second)))
		Expect(h.SentAt("c", 1, 3*time.Second, at(5500*time.Millisecond))).To(Equal(at(5500*time.Millisecond)), "the first of another entry")
	})

	It("follows a restart of the sender, and ignores its former process", func() {
		h := membership.NewHeartbeats()
		h.SentAt("b", 1, time.Hour, at(0))
		Expect(h.SentAt("b", 2, time.Second, at(time.Second))).To(Equal(at(time.Second)))
		Expect(h.SentAt("b", 1, time.Hour, at(1500*time.Millisecond))).To(Equal(at(1500 * time.Millisecond)))
		Expect(h.SentAt("b", 2, 2*time.Second, at(4*time.Second))).To(Equal(at(2 * time.Second)))
	})

	It("stays right for a pause of minutes, and follows clocks that drift apart", func() {
		h := membership.NewHeartbeats()
		h.SentAt("b", 1, time.Second, at(time.Second))
		Expect(h.SentAt("b", 1, 2*time.Second, at(5*time.Minute))).To(Equal(at(2 * time.Second)))
		for n := 301; n < 600; n++ {
			uptime := time.Duration(n) * time.Second
			now := at(uptime + time.Duration(n)*time.Millisecond)
			if delay := now.Sub(h.SentAt("b", 1, uptime, now)); n > 421 {
				Expect(delay).To(BeNumerically("<=", 120*time.Millisecond))
			}
		}
	})
})
