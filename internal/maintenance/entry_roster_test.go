package maintenance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/maintenance"
)

var _ = Describe("the roster of entries", func() {
	const fence, leaseTTL, lostFor = 30 * time.Second, 5 * time.Second, 2 * time.Hour
	start := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	hourLater := start.Add(time.Hour)
	// reports returns the reports of so many registered entries and of so many absent ones.
	reports := func(registered, absent int, leaving bool) []maintenance.EntryReport {
		var all []maintenance.EntryReport
		for i := range registered + absent {
			present := i < registered
			all = append(all, maintenance.EntryReport{Entry: fmt.Sprintf("entry-%d", i), Registered: present, Recent: present, Leaving: !present && leaving})
		}
		return all
	}
	update := func(r maintenance.EntryRoster, now time.Time, w []maintenance.EntryReport) maintenance.EntryRoster {
		next, _ := r.Update(now, w, lostFor)
		return next
	}
	complete := func(r maintenance.EntryRoster, w []maintenance.EntryReport) bool {
		s := maintenance.Snapshot{Now: hourLater, Roster: r}
		s.SetReports(w, time.Hour, fence, leaseTTL)
		return s.Complete
	}
	sevenEntries := update(maintenance.EntryRoster{}, start, reports(7, 0, false))

	It("removes an entry that announced its shutdown at once", func() {
		left := update(sevenEntries, hourLater, reports(3, 4, true))
		Expect(left.Entries).To(HaveLen(3))
		Expect(complete(left, reports(3, 0, false))).To(BeTrue())
	})

	DescribeTable("is complete only when the lost entries are outnumbered by those that they know",
		func(registered, lost int, expected bool) {
			all := update(maintenance.EntryRoster{}, start, reports(registered+lost, 0, false))
			after := update(all, hourLater, reports(registered, lost, false))
			Expect(complete(after, reports(registered, 0, false))).To(Equal(expected))
		},
		Entry("one has crashed for good", 6, 1, true),
		Entry("the smaller part is lost", 4, 3, true),
		Entry("half is lost", 3, 3, true),
		Entry("the greater part is lost", 3, 4, false),
	)

	It("does not count present entries that the lost ones may not know", func() {
		after := update(sevenEntries, hourLater, reports(3, 4, false))
		joined := append(reports(3, 0, false), maintenance.EntryReport{Entry: "new", Registered: true, Recent: true})
		Expect(complete(update(after, hourLater.Add(time.Second), joined), joined)).To(BeFalse())
	})

	It("counts entries added no later than the lost ones, however recently", func() {
		young := start.Add(time.Second)
		after := update(update(maintenance.EntryRoster{}, start, reports(3, 0, false)), young, reports(2, 1, false))
		Expect(complete(after, reports(2, 0, false))).To(BeTrue())
		later := update(update(maintenance.EntryRoster{}, start, reports(1, 0, false)), young, reports(3, 0, false))
		firstLost := []maintenance.EntryReport{{Entry: "entry-1", Registered: true, Recent: true}, {Entry: "entry-2", Registered: true, Recent: true}, {Entry: "entry-0"}}
		Expect(complete(update(later, young.Add(time.Second), firstLost), firstLost[:2])).To(BeFalse(), "the lost one may have read the roster that contained it alone")
	})

	It("must match the registered entries", func() {
		Expect(complete(sevenEntries, reports(6, 1, false))).To(BeFalse())
		Expect(complete(sevenEntries, reports(8, 0, false))).To(BeFalse())
		Expect(complete(sevenEntries, reports(7, 0, false))).To(BeTrue())
	})

	It("restores an entry that registers again, and removes one that is lost for longer than lostFor", func() {
		lost := update(sevenEntries, hourLater, reports(3, 4, false))
		Expect(update(lost, hourLater.Add(time.Hour), reports(7, 0, false))).To(Equal(sevenEntries))
		Expect(update(lost, hourLater.Add(lostFor), reports(3, 0, false)).Entries).To(HaveLen(7))
		Expect(update(lost, hourLater.Add(lostFor+1), reports(3, 0, false)).Entries).To(HaveLen(3))
	})

	It("names the lost entries in the progress of a wave", func() {
		s := maintenance.Snapshot{Now: hourLater, Roster: update(sevenEntries, hourLater, reports(3, 4, false)), Wave: maintenance.Wave{ID: "w", State: maintenance.WaveRunning}}
		Expect(maintenance.ProgressOf(&s, maintenance.DefaultPolicy()).Blockers).To(ConsistOf(HaveField("Reason",
			And(ContainSubstring("entry-3, entry-4, entry-5, entry-6"), ContainSubstring("2026-03-01T12:00:00Z")))))
	})

	It("stops an entry in an outage unless it has recent heartbeats of most entries in the roster", func() {
		var peers []maintenance.PeerReport
		for i := range 3 {
			peers = append(peers, maintenance.PeerReport{Entry: fmt.Sprintf("entry-%d", i+1), Recent: true})
		}
		mayAct := func(r maintenance.EntryRoster, n int) bool {
			return maintenance.MayAct(hourLater, start, fence, 0, "entry-0", r, peers[:n])
		}
		Expect(mayAct(sevenEntries, 3)).To(BeTrue())
		Expect(mayAct(sevenEntries, 2)).To(BeFalse(), "of the 7 entries in the roster, 3 are recent, itself included; it knows no others")
		Expect(mayAct(maintenance.EntryRoster{}, 3)).To(BeFalse(), "the roster does not contain the entry itself")
	})
})
