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

	It("takes an instance out at its own word while the list still has it live", func() {
		t := NewTable()
		t.Replace(list("a", "b"), now)
		Expect(t.Mark(LeavingMark{Instance: "a", ReceivedAt: now}, now)).To(BeTrue())
		Expect(candidates(t)).To(Equal([]string{"b"}))
		t.Replace(list("a", "b"), now.Add(time.Second))
		Expect(candidates(t)).To(Equal([]string{"b"}))
		Expect(t.Mark(LeavingMark{Instance: "a", ReceivedAt: now}, now.Add(time.Second))).To(BeFalse())
	})

	It("trusts it again when it comes back after it was away, also against old words of peers", func() {
		t := NewTable()
		t.Replace(list("a", "b"), now)
		t.Mark(LeavingMark{Instance: "a", ReceivedAt: now}, now)
		t.Replace(list("b"), now.Add(time.Second))
		t.Replace(list("a", "b"), now.Add(2*time.Second))
		Expect(candidates(t)).To(Equal([]string{"a", "b"}))
		t.Mark(LeavingMark{Instance: "a", ReceivedAt: now}, now.Add(3*time.Second))
		Expect(candidates(t)).To(Equal([]string{"a", "b"}))
		t.Mark(LeavingMark{Instance: "a", ReceivedAt: now.Add(4 * time.Second)}, now.Add(4*time.Second))
		Expect(candidates(t)).To(Equal([]string{"b"}))
	})

	It("ends a word after its time, however often peers pass it to and fro", func() {
		a, b := NewTable(), NewTable()
		a.Replace(list("a"), now)
		b.Replace(list("a"), now)
		a.Mark(LeavingMark{Instance: "a", ReceivedAt: now}, now)
		for at := now; at.Before(now.Add(leavingFor)); at = at.Add(time.Second) {
			for _, m := range a.Marks(at) {
				b.Mark(m, at)
			}
			for _, m := range b.Marks(at) {
				a.Mark(m, at)
			}
			Expect(candidates(b)).To(BeEmpty())
		}
		end := now.Add(leavingFor)
		a.Refresh(end)
		b.Refresh(end)
		Expect(candidates(a)).To(Equal([]string{"a"}))
		Expect(candidates(b)).To(Equal([]string{"a"}))
		Expect(a.Marks(end)).To(BeEmpty())
	})

	It("takes a word of the future as one of now", func() {
		t := NewTable()
		t.Replace(list("a"), now)
		t.Mark(LeavingMark{Instance: "a", ReceivedAt: now.Add(time.Hour)}, now)
		t.Refresh(now.Add(leavingFor))
		Expect(candidates(t)).To(Equal([]string{"a"}))
	})
})
