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
	begun := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	long := begun.Add(time.Hour)
	// words tells of so many registered entries and of more that are gone.
	words := func(registered, gone int, leaving bool) []maintenance.EntryReport {
		var all []maintenance.EntryReport
		for i := range registered + gone {
			here := i < registered
			all = append(all, maintenance.EntryReport{Entry: fmt.Sprintf("entry-%d", i), Registered: here, Recent: here, Leaving: !here && leaving})
		}
		return all
	}
	update := func(r maintenance.EntryRoster, now time.Time, w []maintenance.EntryReport) maintenance.EntryRoster {
		next, _ := r.Update(now, w, lostFor)
		return next
	}
	complete := func(r maintenance.EntryRoster, w []maintenance.EntryReport) bool {
		s := maintenance.Snapshot{Now: long, Roster: r}
		s.Await(w, time.Hour, fence, leaseTTL)
		return s.Complete
	}
	seven := update(maintenance.EntryRoster{}, begun, words(7, 0, false))

	It("drops an entry that left as it said, at once", func() {
		left := update(seven, long, words(3, 4, true))
		Expect(left.Entries).To(HaveLen(3))
		Expect(complete(left, words(3, 0, false))).To(BeTrue())
	})

	DescribeTable("lets nothing go on until the lost entries are outnumbered by those they know",
		func(here, lost int, goesOn bool) {
			all := update(maintenance.EntryRoster{}, begun, words(here+lost, 0, false))
			after := update(all, long, words(here, lost, false))
			Expect(complete(after, words(here, 0, false))).To(Equal(goesOn))
		},
		Entry("one crashed for good", 6, 1, true),
		Entry("the smaller part is lost", 4, 3, true),
		Entry("half is lost", 3, 3, true),
		Entry("the greater part is lost", 3, 4, false),
	)

	It("does not count entries that the lost ones don't know", func() {
		after := update(seven, long, words(3, 4, false))
		joined := append(words(3, 0, false), maintenance.EntryReport{Entry: "new", Registered: true, Recent: true})
		Expect(complete(update(after, long.Add(time.Second), joined), joined)).To(BeFalse())
	})

	It("counts those named with the lost ones or before them, however young the fleet is", func() {
		young := begun.Add(time.Second)
		after := update(update(maintenance.EntryRoster{}, begun, words(3, 0, false)), young, words(2, 1, false))
		Expect(complete(after, words(2, 0, false))).To(BeTrue())
		later := update(update(maintenance.EntryRoster{}, begun, words(1, 0, false)), young, words(3, 0, false))
		firstLost := []maintenance.EntryReport{{Entry: "entry-1", Registered: true, Recent: true}, {Entry: "entry-2", Registered: true, Recent: true}, {Entry: "entry-0"}}
		Expect(complete(update(later, young.Add(time.Second), firstLost), firstLost[:2])).To(BeFalse(), "the lost one may have seen the roster that named it alone")
	})

	It("must be stored as it is now before anything goes on", func() {
		Expect(complete(seven, words(6, 1, false))).To(BeFalse())
		Expect(complete(seven, words(8, 0, false))).To(BeFalse())
		Expect(complete(seven, words(7, 0, false))).To(BeTrue())
	})

	It("takes an entry back, and gives one up that is lost for longer than any cut", func() {
		lost := update(seven, long, words(3, 4, false))
		Expect(update(lost, long.Add(time.Hour), words(7, 0, false))).To(Equal(seven))
		Expect(update(lost, long.Add(lostFor), words(3, 0, false)).Entries).To(HaveLen(7))
		Expect(update(lost, long.Add(lostFor+1), words(3, 0, false)).Entries).To(HaveLen(3))
	})

	It("tells the status of a wave which entries it waits for", func() {
		s := maintenance.Snapshot{Now: long, Roster: update(seven, long, words(3, 4, false)), Wave: maintenance.Wave{ID: "w", State: maintenance.WaveRunning}}
		Expect(maintenance.ProgressOf(&s, maintenance.DefaultPolicy()).Blockers).To(ConsistOf(HaveField("Reason",
			And(ContainSubstring("entry-3, entry-4, entry-5, entry-6"), ContainSubstring("2026-03-01T12:00:00Z")))))
	})

	It("keeps an entry in an outage from acting unless it hears most of those named", func() {
		var peers []maintenance.PeerReport
		for i := range 3 {
			peers = append(peers, maintenance.PeerReport{Entry: fmt.Sprintf("entry-%d", i+1), Recent: true})
		}
		mayAct := func(r maintenance.EntryRoster, n int) bool {
			return maintenance.MayAct(long, begun, fence, 0, "entry-0", r, peers[:n])
		}
		Expect(mayAct(seven, 3)).To(BeTrue())
		Expect(mayAct(seven, 2)).To(BeFalse(), "it hears 3 of 7, and knows no others")
		Expect(mayAct(maintenance.EntryRoster{}, 3)).To(BeFalse(), "it is not named itself")
	})
})
