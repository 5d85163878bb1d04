package maintenance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

var _ = DescribeTable("an entry's readiness by its pools",
	func(r maintenance.Readiness, obstacle string) {
		if obstacle == "" {
			Expect(r.Obstacle()).To(BeEmpty())
			return
		}
		Expect(r.Obstacle()).To(ContainSubstring(obstacle))
	},
	Entry("the list is not known", maintenance.Readiness{MayAct: true}, "not known yet"),
	Entry("no pool has instances", maintenance.Readiness{ListKnown: true}, ""),
	Entry("no pool is assigned", maintenance.Readiness{ListKnown: true, MayAct: true, Unassigned: []string{"tags"}}, "any of the pools tags"),
	Entry("no pool is assigned for long", maintenance.Readiness{ListKnown: true, MayAct: true, Unassigned: []string{"tags"}, WaitedFor: time.Hour}, "any of the pools tags"),
	Entry("one pool is not assigned", maintenance.Readiness{ListKnown: true, MayAct: true, Assigned: []string{"tags"}, Unassigned: []string{"rights"}}, "rights"),
	Entry("one pool is not assigned for long", maintenance.Readiness{ListKnown: true, MayAct: true, Assigned: []string{"tags"}, Unassigned: []string{"rights"}, WaitedFor: maintenance.AssignmentWait}, ""),
	Entry("the entry may no longer act", maintenance.Readiness{ListKnown: true, Assigned: []string{"tags"}}, "not confirmed"),
	Entry("all pools are assigned", maintenance.Readiness{ListKnown: true, MayAct: true, Assigned: []string{"tags"}}, ""),
)

var _ = Describe("the assignment of pools", func() {
	It("omits pools without a live instance", func() {
		listed := []fleet.Instance{
			{ID: "a", Kind: fleet.KindUpstream, Service: "tags", State: fleet.Live},
			{ID: "b", Kind: fleet.KindUpstream, Service: "rights", State: fleet.Live},
			{ID: "c", Kind: fleet.KindUpstream, Service: "empty", State: fleet.Leaving},
			{ID: "d", Kind: fleet.KindUpstream, Service: "unconfigured", State: fleet.Live},
		}
		records := map[string]maintenance.Record{"a": {Version: 3}, "unlisted": {Version: 5}}
		record := func(id string) (maintenance.Record, bool) { r, known := records[id]; return r, known }
		pools := map[string]string{"tags": "tags", "rights": "rights", "empty": "empty", "none": "none"}
		assigned, unassigned := maintenance.PoolAssignment(listed, record, pools)
		Expect(assigned).To(ConsistOf("tags"))
		Expect(unassigned).To(ConsistOf("rights"))
	})
})

var _ = Describe("instances without a record", func() {
	It("are assigned in rounds of one for each pool", func() {
		r := newReplay(0, 0, 1, 0, nil)
		r.addPool("a", 3, 1, maintenance.Budget{Share: 1})
		r.addPool("b", 2, 1, maintenance.Budget{Share: 1})
		var order []string
		for _, record := range maintenance.Plan(&r.snapshot, r.policy).Records {
			order = append(order, record.Instance)
		}
		Expect(order).To(Equal([]string{"a-00", "b-00", "a-01", "b-01", "a-02"}))
	})
})
