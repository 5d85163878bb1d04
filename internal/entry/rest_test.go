package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/membership"
)

var _ = ginkgo.Describe("an entry between two heartbeats", func() {
	ginkgo.It("rests on a smaller member heard of late, and on no other", func() {
		e, _ := newTestEntry() // entry-1
		heard := func(id membership.EntryID, ago time.Duration) membership.Member {
			return membership.Member{ID: id, Registered: true, LastHeartbeat: e.clock.Now().Add(-ago)}
		}
		interval := e.settings.Membership.Heartbeat
		Expect(e.rests(heard("entry-0", 0))).To(BeFalse(), "nothing in force, store out of reach")
		e.storeReached(true)
		Expect(e.rests(heard("entry-0", 0))).To(BeFalse(), "nothing in force")
		e.offer(configuration.Versioned{Version: 4, Configuration: &configuration.Configuration{}})
		Expect(e.rests(heard("entry-0", interval))).To(BeTrue())
		Expect(e.rests(heard("entry-0", 2*interval))).To(BeFalse(), "it was missed")
		Expect(e.rests(heard("entry-2", 0))).To(BeFalse(), "the smaller asks")
		unregistered := heard("entry-0", 0)
		unregistered.Registered = false
		Expect(e.rests(unregistered)).To(BeFalse())
	})
})
