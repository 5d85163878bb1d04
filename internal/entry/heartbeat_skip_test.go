package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/membership"
)

var _ = ginkgo.Describe("the heartbeats of an entry", func() {
	ginkgo.It("skip a member with a smaller ID whose own heartbeat is recent, and no other", func() {
		e, _ := newTestEntry() // entry-1
		member := func(id membership.EntryID, age time.Duration) membership.Member {
			return membership.Member{ID: id, Registered: true, LastHeartbeat: e.clock.Now().Add(-age)}
		}
		interval := e.settings.Membership.Heartbeat
		Expect(e.skipsHeartbeat(member("entry-0", 0))).To(BeFalse(), "nothing in force, store unreachable")
		e.recordStoreReachable(true)
		Expect(e.skipsHeartbeat(member("entry-0", 0))).To(BeFalse(), "nothing in force")
		e.putInForce(configuration.Versioned{Version: 4, Configuration: &configuration.Configuration{}})
		Expect(e.skipsHeartbeat(member("entry-0", interval))).To(BeTrue())
		Expect(e.skipsHeartbeat(member("entry-0", 2*interval))).To(BeFalse(), "its heartbeat is overdue")
		Expect(e.skipsHeartbeat(member("entry-2", 0))).To(BeFalse(), "the entry with the smaller ID initiates")
		unregistered := member("entry-0", 0)
		unregistered.Registered = false
		Expect(e.skipsHeartbeat(unregistered)).To(BeFalse())
	})
})
