package inventory

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"persimmonbay/internal/fleet"
)

var _ = Describe("changes of the list", func() {
	drawn := rapid.Custom(func(t *rapid.T) []fleet.Instance {
		var list []fleet.Instance
		for _, n := range rapid.Permutation([]int{1, 2, 3, 4, 5, 6}).Draw(t, "order")[:rapid.IntRange(0, 6).Draw(t, "count")] {
			state := rapid.SampledFrom([]fleet.InstanceState{fleet.Live, fleet.Leaving}).Draw(t, "state")
			list = append(list, fleet.Instance{ID: fmt.Sprintf("tags-%d", n), State: state})
		}
		return list
	})

	It("update a peer to the same list from any retained one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			reader, now := New(), start
			reader.Read(fleet.Listing{Instances: live}, now)
			peers := []*Inventory{}
			for range rapid.IntRange(1, maxEarlier).Draw(t, "reads") {
				peer := New()
				peer.Update(reader.Get())
				peers = append(peers, peer)
				now = now.Add(time.Second)
				reader.Read(fleet.Listing{Tag: fmt.Sprint(now.Unix()), Instances: drawn.Draw(t, "list")}, now)
			}
			for _, peer := range peers {
				d, ok := reader.ChangesSince(peer.Get().Stamp)
				g.Expect(ok).To(BeTrue())
				g.Expect(peer.ApplyChanges(d)).To(BeTrue())
				g.Expect(peer.Get().Stamp.Same(reader.Get().Stamp)).To(BeTrue())
				if peer.Get().Stamp != reader.Get().Stamp {
					continue // the peer had that list before, under an earlier tag
				}
				g.Expect(peer.Listing().Tag).To(Equal(reader.Listing().Tag))
				g.Expect(peer.Get().Instances).To(HaveLen(len(reader.Get().Instances)))
				for i, instance := range reader.Get().Instances {
					g.Expect(peer.Get().Instances[i]).To(Equal(instance))
				}
			}
		})
	})

	It("are not applied to another list, nor if they result in another one", func() {
		reader, peer := New(), New()
		reader.Read(fleet.Listing{Instances: live}, start)
		peer.Update(reader.Get())
		reader.Read(fleet.Listing{Instances: leaving}, start.Add(time.Second))
		d, ok := reader.ChangesSince(peer.Get().Stamp)
		Expect(ok).To(BeTrue())
		incomplete := d
		incomplete.Changed = nil
		Expect(peer.ApplyChanges(incomplete)).To(BeFalse())
		Expect(peer.Get().Instances).To(Equal(live))
		Expect(New().ApplyChanges(d)).To(BeFalse())
		Expect(peer.ApplyChanges(d)).To(BeTrue())
		Expect(peer.Get().Instances).To(Equal(leaving))
	})

	It("are not available from a list that is not retained", func() {
		reader := New()
		reader.Read(fleet.Listing{Instances: live}, start)
		_, ok := reader.ChangesSince(Stamp{})
		Expect(ok).To(BeFalse())
		old := reader.Get().Stamp
		for i := range maxEarlier + 1 {
			reader.Read(fleet.Listing{Instances: []fleet.Instance{{ID: fmt.Sprint(i)}}}, start)
		}
		_, ok = reader.ChangesSince(old)
		Expect(ok).To(BeFalse())
	})
})
