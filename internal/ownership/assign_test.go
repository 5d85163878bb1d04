package ownership_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/ownership"
)

var _ = Describe("Assign", func() {
	services := []string{"tags", "deeds", "vets", "pastures", "misc"}

	count := func(owners map[string]string) map[string]int {
		n := map[string]int{}
		for _, owner := range owners {
			n[owner]++
		}
		return n
	}

	It("spreads services over equal members, whatever the order of the members", func() {
		var members, reversed []ownership.Member
		for i := range 6 {
			members = append(members, ownership.Member{Name: fmt.Sprint("entry-", i)})
			reversed = append([]ownership.Member{{Name: fmt.Sprint("entry-", i)}}, reversed...)
		}
		owners := ownership.Assign(services, members)
		Expect(count(owners)).To(HaveLen(5))
		Expect(ownership.Assign(services, reversed)).To(Equal(owners))
	})

	// Guards against an owner that is too small for its pool: the smallest of 41
	// entries owned the busiest pool and fell behind (a calm day of the grown
	// Registry).
	It("assigns services to members by their weight", func() {
		members := []ownership.Member{{Name: "small-1", Weight: 0.2}, {Name: "small-2", Weight: 0.2}, {Name: "large-1", Weight: 0.8}, {Name: "large-2", Weight: 0.8}}
		Expect(count(ownership.Assign(services, members))).To(SatisfyAll(HaveLen(2), HaveKey("large-1"), HaveKey("large-2")))
	})

	It("assigns nothing without members", func() {
		Expect(ownership.Assign(services, nil)).To(BeEmpty())
	})
})
