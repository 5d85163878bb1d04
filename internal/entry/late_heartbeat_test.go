package entry

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/settings"
)

var _ = ginkgo.Describe("a heartbeat that is read late, after a pause of the receiving process", func() {
	// The pause is shorter than the time for which a silent peer counts as alive.
	const pause = 2500 * time.Millisecond

	ginkgo.It("is as old as it was sent, so that a peer is not taken for one that still reaches the store", func() {
		clock := clockwork.NewFakeClock()
		newEntry := func(id string) *Entry {
			s := settings.DefaultEntry()
			s.ID = id
			e, err := New(s, clock, zap.NewNop())
			Expect(err).NotTo(HaveOccurred())
			ginkgo.DeferCleanup(e.listeners.close)
			return e
		}
		receiver, sender := newEntry("receiver"), newEntry("sender")
		receiver.members.Register(*sender.ownRegistration())
		confirmed := clock.Now()
		receiver.slots.confirm(confirmed, true)
		sender.slots.confirm(confirmed, true)
		sender.recordStoreReachable(true)
		handle := func(h *wire.Heartbeat) membership.Member {
			receiver.handleHeartbeat("sender", h)
			m, known := receiver.members.Member("sender")
			Expect(known).To(BeTrue())
			return m
		}
		m := handle(wire.FromHeartbeat(sender.ownHeartbeat(), clock.Now()))
		Expect(m.Confirmed).To(BeTemporally("==", confirmed))

		clock.Advance(time.Second)
		sent := clock.Now()
		late := wire.FromHeartbeat(sender.ownHeartbeat(), sent)
		clock.Advance(pause)
		m = handle(late)
		Expect(m.Confirmed).To(BeTemporally("<=", confirmed))
		Expect(m.LastHeartbeat).To(BeTemporally("<=", sent))
		Expect(receiver.slots.reachesStore(m, clock.Now())).To(BeFalse())
	})
})
