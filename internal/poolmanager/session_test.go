package poolmanager

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

var _ = Describe("an entry whose renewals get no response for a while", func() {
	// With a third of the responses lost, half of all entries lost their leases within
	// 5 s, and the pools their owners: a lease lasts for three calls that time out.
	It("keeps its lease with the next renewal that is answered", func() {
		started := time.Now()
		timing := Timing{LeaseTTL: 3 * time.Second, LeaseMargin: 200 * time.Millisecond, StoreTimeout: 900 * time.Millisecond}
		kv := newFakeStore()
		s := newSession(kv, clockwork.NewRealClock(), func() time.Duration { return time.Since(started) }, zap.NewNop(), &timing, "node-1")
		s.id, s.endsAt = 7, 2*time.Second
		kv.muteKeep = 3
		s.step(context.Background())
		Expect(s.sinceRenewal()).To(BeNumerically("<", timing.StoreTimeout/2))
		Expect(s.isValid(7)).To(BeTrue())
		Expect(kv.renewalsReceived()).To(Equal(4), "three without a response and one with")
	})

	It("sends no more than a few renewals beside each other", func() {
		started := time.Now()
		timing := Timing{LeaseTTL: 3 * time.Second, LeaseMargin: 200 * time.Millisecond, StoreTimeout: 900 * time.Millisecond}
		kv := newFakeStore()
		s := newSession(kv, clockwork.NewRealClock(), func() time.Duration { return time.Since(started) }, zap.NewNop(), &timing, "node-1")
		s.id, s.endsAt = 7, 2*time.Second
		kv.muteKeep = 100
		s.step(context.Background())
		Expect(kv.renewalsReceived()).To(Equal(maxParallelRenewals))
	})
})
