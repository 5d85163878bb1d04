package entry

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
)

var _ = ginkgo.Describe("the trust in the store's word", func() {
	const others = 6
	var (
		e         *Entry
		confirmed time.Time
	)

	ginkgo.BeforeEach(func() {
		e, _ = newTestEntry()
		confirmed = e.clock.Now()
		e.slots.confirm(confirmed, true)
		for i := range others {
			e.members.Register(membership.Registration{ID: membership.EntryID(fmt.Sprintf("other-%d", i)), PeerAddress: "127.0.0.1:1"})
		}
	})

	// after lets the lease lapse nearly, the first ones heard of the others being
	// heard, last confirmed when this entry was.
	after := func(heard int) (now time.Time) {
		now = confirmed.Add(e.settings.Membership.LeaseTTL - time.Millisecond)
		for i := range heard {
			e.members.RecordHeartbeat(membership.Heartbeat{Entry: membership.EntryID(fmt.Sprintf("other-%d", i)), Confirmed: confirmed}, now)
		}
		return now
	}

	ginkgo.DescribeTable("lasts beyond the lease only with most of the entries in the same outage", func(heard int, lasts bool) {
		now := after(heard)
		lapses := confirmed.Add(e.settings.Membership.LeaseTTL)
		Expect(e.slots.confirmedUntil(now).After(lapses)).To(Equal(lasts))
	},
		ginkgo.Entry("all of them", others, true),
		ginkgo.Entry("four of seven, itself included", 3, true),
		ginkgo.Entry("three of seven, cut off together", 2, false),
		ginkgo.Entry("none", 0, false),
	)

	ginkgo.It("does not last when the store confirms one that is heard", func() {
		now := after(others)
		e.members.RecordHeartbeat(membership.Heartbeat{Entry: "other-0", Confirmed: now}, now)
		Expect(e.slots.confirmedUntil(now)).To(Equal(confirmed.Add(e.settings.Membership.LeaseTTL)))
	})
})
