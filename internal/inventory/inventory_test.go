package inventory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
)

var (
	start   = time.Unix(1_800_000_000, 0)
	live    = []fleet.Instance{{ID: "a", State: fleet.Live}}
	leaving = []fleet.Instance{{ID: "a", State: fleet.Leaving}}
)

var _ = Describe("Inventory", func() {
	It("increases the generation with each change, not with each read", func() {
		v := New()
		Expect(v.Read(fleet.Listing{Instances: live}, start)).To(BeTrue())
		Expect(v.Read(fleet.Listing{Instances: live}, start.Add(time.Second))).To(BeFalse())
		Expect(v.Get().Stamp.Generation).To(BeEquivalentTo(1))
		Expect(v.Get().Stamp.ReadAt).To(Equal(start.Add(time.Second)))
		Expect(v.Read(fleet.Listing{Instances: leaving}, start.Add(2*time.Second))).To(BeTrue())
		Expect(v.Get().Stamp.Generation).To(BeEquivalentTo(2))
	})

	It("takes a peer's newer list and never an older one", func() {
		reader, other := New(), New()
		reader.Read(fleet.Listing{Instances: live}, start)
		old := reader.Get()
		Expect(other.Update(old)).To(BeTrue())
		reader.Read(fleet.Listing{Instances: leaving}, start.Add(time.Second))
		Expect(other.RecordStamp(reader.Get().Stamp)).To(BeTrue())
		Expect(other.Update(reader.Get())).To(BeTrue())
		Expect(other.Update(old)).To(BeFalse())
		Expect(other.Get().Instances).To(Equal(leaving))
	})

	It("converges on one list when two entries read different ones at the same time", func() {
		a, b := New(), New()
		a.Read(fleet.Listing{Instances: live}, start)
		b.Read(fleet.Listing{Instances: leaving}, start)
		first, second := a.Get(), b.Get()
		a.Update(second)
		b.Update(first)
		Expect(a.Get().Stamp.Same(b.Get().Stamp)).To(BeTrue())
	})

	It("learns from a peer's stamp that its own list is still current", func() {
		v := New()
		v.Read(fleet.Listing{Instances: live}, start)
		stamp := v.Get().Stamp
		stamp.ReadAt = start.Add(5 * time.Second)
		Expect(v.RecordStamp(stamp)).To(BeFalse())
		Expect(v.Get().Stamp.ReadAt).To(Equal(start.Add(5 * time.Second)))
	})
})

var _ = Describe("ShouldRead", func() {
	entries := []string{"entry-1", "entry-2", "entry-3"}
	others := func(self string) []string {
		var alive []string
		for _, id := range entries {
			if id != self {
				alive = append(alive, id)
			}
		}
		return alive
	}

	It("selects exactly one entry while all of them are alive", func() {
		for minute := range 50 {
			now := start.Add(time.Duration(minute) * time.Minute)
			readers := 0
			for _, self := range entries {
				if ShouldRead(self, others(self), now, time.Second, StaleAfter(time.Second, time.Second)) {
					readers++
				}
			}
			Expect(readers).To(Equal(1))
		}
	})

	It("selects the entries in turn", func() {
		turns := map[string]int{}
		for minute := range 300 {
			turns[reader("entry-1", others("entry-1"), start.Add(time.Duration(minute)*time.Minute))]++
		}
		for _, id := range entries {
			Expect(turns[id]).To(BeNumerically(">", 50), id)
		}
	})

	It("selects every entry when the list is stale", func() {
		for _, self := range entries {
			Expect(ShouldRead(self, others(self), start, 2500*time.Millisecond, StaleAfter(time.Second, time.Second))).To(BeTrue())
		}
	})
})
