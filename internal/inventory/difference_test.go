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

	It("bring a peer to the same list from any that is still kept", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			reader, now := New(), start
			reader.Read(fleet.Listing{Instances: live}, now)
			followers := []*Inventory{}
			for range rapid.IntRange(1, maxEarlier).Draw(t, "reads") {
				follower := New()
				follower.Update(reader.Get())
				followers = append(followers, follower)
				now = now.Add(time.Second)
				reader.Read(fleet.Listing{Tag: fmt.Sprint(now.Unix()), Instances: drawn.Draw(t, "list")}, now)
			}
			for _, follower := range followers {
				d, ok := reader.ChangesSince(follower.Get().Stamp)
				g.Expect(ok).To(BeTrue())
				g.Expect(follower.ApplyChanges(d)).To(BeTrue())
				g.Expect(follower.Get().Stamp.Same(reader.Get().Stamp)).To(BeTrue())
				if follower.Get().Stamp != reader.Get().Stamp {
					continue // it had that list before, under an earlier tag
				}
				g.Expect(follower.Listing().Tag).To(Equal(reader.Listing().Tag))
				g.Expect(follower.Get().Instances).To(HaveLen(len(reader.Get().Instances)))
				for i, instance := range reader.Get().Instances {
					g.Expect(follower.Get().Instances[i]).To(Equal(instance))
				}
			}
		})
	})

	It("are not taken when they are of another list or give another one", func() {
		reader, follower := New(), New()
		reader.Read(fleet.Listing{Instances: live}, start)
		follower.Update(reader.Get())
		reader.Read(fleet.Listing{Instances: gone}, start.Add(time.Second))
		d, ok := reader.ChangesSince(follower.Get().Stamp)
		Expect(ok).To(BeTrue())
		lost := d
		lost.Changed = nil
		Expect(follower.ApplyChanges(lost)).To(BeFalse())
		Expect(follower.Get().Instances).To(Equal(live))
		Expect(New().ApplyChanges(d)).To(BeFalse())
		Expect(follower.ApplyChanges(d)).To(BeTrue())
		Expect(follower.Get().Instances).To(Equal(gone))
	})

	It("are not told to one whose list is not kept", func() {
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
