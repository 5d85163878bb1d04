package slots_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

var _ = DescribeTable("dividing slots", func(needs, demands, expected []int) {
	Expect(slots.Divide(8, needs, demands)).To(Equal(expected))
},
	Entry("all idle: evenly", []int{0, 0, 0}, []int{0, 0, 0}, []int{3, 3, 2}),
	Entry("one overloaded: all slots to it", []int{0, 0, 0}, []int{0, 9, 0}, []int{0, 8, 0}),
	Entry("all overloaded: evenly", []int{0, 0, 0}, []int{9, 9, 9}, []int{3, 3, 2}),
	Entry("needs before other demand", []int{5, 1, 1}, []int{9, 9, 9}, []int{6, 1, 1}),
	Entry("more needs than slots: evenly", []int{9, 9, 1}, []int{9, 9, 9}, []int{4, 3, 1}),
)

var _ = Describe("the home of an upstream", func() {
	It("moves only when its home leaves or a new home joins", func() {
		members := []membership.EntryID{"entry-1", "entry-2", "entry-3", "entry-4"}
		homes := make(map[membership.EntryID]int)
		for i := range 400 {
			u := fmt.Sprintf("tags-%d", i)
			before := slots.Home(u, members)
			homes[before]++
			if after := slots.Home(u, members[:3]); before != "entry-4" {
				Expect(after).To(Equal(before))
			}
		}
		for _, m := range members {
			Expect(homes[m]).To(BeNumerically("~", 100, 30))
		}
	})
})
