package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
)

var _ = Describe("leaving", func() {
	now := time.Unix(1_800_000_000, 0)
	list := func(ids ...string) []fleet.Instance {
		var all []fleet.Instance
		for _, id := range ids {
			all = append(all, fleet.Instance{ID: id, Kind: fleet.KindUpstream, Service: "tags", State: fleet.Live})
		}
		return all
	}
	candidates := func(t *Table) []string {
		var ids []string
		for _, i := range t.Candidates("tags") {
			ids = append(ids, i.ID)
		}
		return ids
	}

	It("excludes an instance that reports it while the list still shows it live", func() {
		t := NewTable()
		t.Replace(list("a", "b"), now)
		Expect(t.MarkLeaving(LeavingMark{Instance: "a", ReceivedAt: now}, now)).To(BeTrue())
		Expect(candidates(t)).To(Equal([]string{"b"}))
		t.Replace(list("a", "b"), now.Add(time.Second))
		Expect(candidates(t)).To(Equal([]string{"b"}))
		Expect(t.MarkLeaving(LeavingMark{Instance: "a", ReceivedAt: now}, now.Add(time.Second))).To(BeFalse())
	})

	It("ends when the list shows the instance again, also against old reports from peers", func() {
		t := NewTable()
		t.Replace(list("a", "b"), now)
		t.MarkLeaving(LeavingMark{Instance: "a", ReceivedAt: now}, now)
		t.Replace(list("b"), now.Add(time.Second))
		t.Replace(list("a", "b"), now.Add(2*time.Second))
		Expect(candidates(t)).To(Equal([]string{"a", "b"}))
		t.MarkLeaving(LeavingMark{Instance: "a", ReceivedAt: now}, now.Add(3*time.Second))
		Expect(candidates(t)).To(Equal([]string{"a", "b"}))
		t.MarkLeaving(LeavingMark{Instance: "a", ReceivedAt: now.Add(4 * time.Second)}, now.Add(4*time.Second))
		Expect(candidates(t)).To(Equal([]string{"b"}))
	})

	It("ends when the report expires, however often peers forward it to each other", func() {
		a, b := NewTable(), NewTable()
		a.Replace(list("a"), now)
		b.Replace(list("a"), now)
		a.MarkLeaving(LeavingMark{Instance: "a", ReceivedAt: now}, now)
		for at := now; at.Before(now.Add(leavingValidity)); at = at.Add(time.Second) {
			for _, m := range a.LeavingMarks(at) {
				b.MarkLeaving(m, at)
			}
			for _, m := range b.LeavingMarks(at) {
				a.MarkLeaving(m, at)
			}
			Expect(candidates(b)).To(BeEmpty())
		}
		end := now.Add(leavingValidity)
		a.Refresh(end)
		b.Refresh(end)
		Expect(candidates(a)).To(Equal([]string{"a"}))
		Expect(candidates(b)).To(Equal([]string{"a"}))
		Expect(a.LeavingMarks(end)).To(BeEmpty())
	})

	It("takes a report with a time in the future as one of now", func() {
		t := NewTable()
		t.Replace(list("a"), now)
		t.MarkLeaving(LeavingMark{Instance: "a", ReceivedAt: now.Add(time.Hour)}, now)
		t.Refresh(now.Add(leavingValidity))
		Expect(candidates(t)).To(Equal([]string{"a"}))
	})
})
