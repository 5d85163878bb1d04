package membership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
)

var _ = Describe("the table of members", func() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	stored := membership.Registration{ID: "b", PeerAddress: "10.0.0.2:7", AvailabilityZone: "az-2"}
	var table *membership.Table

	BeforeEach(func() { table = membership.NewTable("a") })

	It("leaves itself out", func() {
		table.Register(membership.Registration{ID: "a", PeerAddress: "10.0.0.1:7"})
		table.RecordAnnouncement(membership.Registration{ID: "a", PeerAddress: "10.0.0.1:7"}, now)
		Expect(table.Members()).To(BeEmpty())
	})

	It("distinguishes the heartbeat of an unknown sender from a member's", func() {
		Expect(table.RecordHeartbeat(membership.Heartbeat{Entry: "b"}, now)).To(BeFalse())
		table.Register(stored)
		Expect(table.RecordHeartbeat(membership.Heartbeat{Entry: "b"}, now)).To(BeTrue())
	})

	It("prefers an address that an entry announces itself to the stored one, but not one that a peer reports", func() {
		table.Register(stored)
		moved := stored
		moved.PeerAddress = "10.0.0.2:8"
		table.AddReported(moved, now)
		Expect(address(table)).To(Equal("10.0.0.2:7"))
		table.RecordAnnouncement(moved, now)
		Expect(address(table)).To(Equal("10.0.0.2:8"))
	})

	It("keeps the highest version when heartbeats of one incarnation arrive out of order", func() {
		table.Register(stored)
		table.RecordHeartbeat(membership.Heartbeat{Entry: "b", Incarnation: 1, ConfigurationVersion: 7}, now)
		table.RecordHeartbeat(membership.Heartbeat{Entry: "b", Incarnation: 1, ConfigurationVersion: 6}, now)
		Expect(version(table)).To(Equal(uint64(7)))
	})

	It("applies the heartbeat of a restarted member, and none from before its restart", func() {
		table.Register(stored)
		table.RecordHeartbeat(membership.Heartbeat{Entry: "b", Incarnation: 1, ConfigurationVersion: 7}, now)
		table.RecordHeartbeat(membership.Heartbeat{Entry: "b", Incarnation: 2}, now)
		Expect(version(table)).To(BeZero())
		table.RecordHeartbeat(membership.Heartbeat{Entry: "b", Incarnation: 1, ConfigurationVersion: 9}, now)
		Expect(version(table)).To(BeZero())
	})

	It("keeps members through an outage of the store and forgets those without recent heartbeats", func() {
		table.Register(stored)
		table.RecordHeartbeat(membership.Heartbeat{Entry: "b"}, now)
		table.UnregisterExcept(map[membership.EntryID]bool{})
		table.RemoveExpired(now.Add(time.Second))
		Expect(table.Members()).To(HaveLen(1))
		table.RemoveExpired(now.Add(2 * time.Minute))
		Expect(table.Members()).To(BeEmpty())
	})

	It("gives a reported member time to send a heartbeat", func() {
		table.AddReported(stored, now)
		table.RemoveExpired(now.Add(time.Second))
		Expect(table.Members()).To(HaveLen(1))
		table.RemoveExpired(now.Add(2 * time.Minute))
		Expect(table.Members()).To(BeEmpty())
	})
})

func address(table *membership.Table) string {
	m, _ := table.Member("b")
	return m.PeerAddress
}

func version(table *membership.Table) uint64 {
	m, _ := table.Member("b")
	return uint64(m.ConfigurationVersion)
}
