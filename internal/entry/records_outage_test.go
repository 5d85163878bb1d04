package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/settings"
	standin "persimmonbay/internal/standin/platform"
)

// Guards against entries that send no more work in an outage of the store, because
// one of them read the records after the others had, for example when it restarted.
var _ = ginkgo.Describe("the records in an outage of the store", func() {
	var (
		ctx     = context.Background()
		clock   *clockwork.FakeClock
		store   *standin.Store
		entries map[membership.EntryID]*Entry
	)

	save := func(record maintenance.Record) {
		ginkgo.GinkgoHelper()
		_, err := fleetstore.New(store).SaveRecord(ctx, record)
		Expect(err).NotTo(HaveOccurred())
	}
	// read makes an entry read the records as its watcher does first, and use them.
	read := func(id membership.EntryID) {
		ginkgo.GinkgoHelper()
		c := entries[id].control
		listing, err := c.source.List(ctx, fleetstore.Prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(fleetstore.ApplyListing(c.view, listing)).To(Succeed())
		c.confirm()
		c.router.refresh()
	}
	// follow makes an entry read the changes of the records after a revision, and use
	// them.
	follow := func(id membership.EntryID, after uint64) {
		ginkgo.GinkgoHelper()
		c := entries[id].control
		changes, err := c.source.Watch(ctx, fleetstore.Prefix, after, 0)
		Expect(err).NotTo(HaveOccurred())
		for _, event := range changes.Events {
			Expect(fleetstore.ApplyEvent(c.view, event)).To(Succeed())
		}
		c.confirm()
		c.router.refresh()
	}
	// revision returns the present revision of the store.
	revision := func() uint64 {
		ginkgo.GinkgoHelper()
		listing, err := store.List(ctx, fleetstore.Prefix)
		Expect(err).NotTo(HaveOccurred())
		return listing.Revision
	}
	writeOtherKey := func() {
		ginkgo.GinkgoHelper()
		_, err := store.Put(ctx, membersPrefix+"restarted", nil, platform.Any(), "")
		Expect(err).NotTo(HaveOccurred())
	}
	// mayAct returns the entries that may act on their records in an outage that has
	// lasted for longer than the fence.
	mayAct := func() (acting []membership.EntryID) {
		clock.Advance(settings.DefaultFence + time.Second)
		for id, e := range entries {
			for _, other := range entries {
				h := other.ownHeartbeat()
				e.members.RecordHeartbeat(membership.Heartbeat{Entry: h.Entry, Incarnation: h.Incarnation, MaintenanceRevision: h.MaintenanceRevision}, clock.Now())
			}
			if e.control.mayAct(e.control.view.State().Revision) {
				acting = append(acting, id)
			}
		}
		return acting
	}

	ginkgo.BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = standin.NewStore(clock)
		entries = make(map[membership.EntryID]*Entry)
		var roster maintenance.EntryRoster
		for _, id := range []membership.EntryID{"first", "restarted", "third"} {
			s := settings.DefaultEntry()
			s.ID = string(id)
			e, err := New(s, clock, zap.NewNop())
			Expect(err).NotTo(HaveOccurred())
			ginkgo.DeferCleanup(e.listeners.close)
			e.control.source = newConfirmingStore(store, clock)
			for other, o := range entries {
				e.members.Register(*o.ownRegistration())
				entries[other].members.Register(*e.ownRegistration())
			}
			entries[id] = e
			roster.Entries = append(roster.Entries, maintenance.RosterEntry{Entry: string(id), Since: clock.Now()})
		}
		_, err := fleetstore.New(store).SaveRoster(ctx, roster)
		Expect(err).NotTo(HaveOccurred())
		save(maintenance.Record{Instance: "tags-1", Pool: "tags", Phase: maintenance.Serving})
		read("first")
		read("third")
	})

	ginkgo.It("are acted on by all entries when one read them after a write of another key", func() {
		writeOtherKey()
		read("restarted")
		Expect(mayAct()).To(ConsistOf(membership.EntryID("first"), membership.EntryID("restarted"), membership.EntryID("third")))
	})

	ginkgo.It("are acted on by all entries when one read them after a deletion that the others have read", func() {
		save(maintenance.Record{Instance: "tags-2", Pool: "tags", Phase: maintenance.Serving})
		before := revision()
		read("first")
		read("third")
		deleted, err := fleetstore.New(store).LoadRecord(ctx, "tags-2")
		Expect(err).NotTo(HaveOccurred())
		Expect(fleetstore.New(store).DeleteRecord(ctx, deleted)).To(Succeed())
		follow("first", before)
		follow("third", before)
		writeOtherKey()
		read("restarted")
		Expect(mayAct()).To(ConsistOf(membership.EntryID("first"), membership.EntryID("restarted"), membership.EntryID("third")))
	})

	ginkgo.It("are not acted on by an entry that has not read a change that another acts on", func() {
		before := revision()
		read("restarted")
		save(maintenance.Record{Instance: "tags-2", Pool: "tags", Phase: maintenance.Serving})
		follow("restarted", before)
		Expect(mayAct()).To(ConsistOf(membership.EntryID("restarted")))
	})

	ginkgo.It("are not acted on by an entry that has not read a change that a restarted one has", func() {
		save(maintenance.Record{Instance: "tags-2", Pool: "tags", Phase: maintenance.Serving})
		writeOtherKey()
		read("restarted")
		Expect(mayAct()).To(ConsistOf(membership.EntryID("restarted")))
	})
})
