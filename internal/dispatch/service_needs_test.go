package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// claimUpstreams is how many upstreams the claims are spread over.
const claimUpstreams = 8

// idle returns a placer with one free slot of each of claimUpstreams.
func idle(now time.Time) (*dispatch.Placer, []fleet.Instance) {
	p := dispatch.NewPlacer(slots.Holder{Entry: "entry-1", Incarnation: 1}, "az-1", now,
		func(s admission.Shares) admission.Order { return admission.NewFair(s, admission.DefaultLimits) })
	p.Configure(&configuration.Configuration{
		Teams:    []configuration.Team{{Name: "herders", Weight: 1}},
		Services: []configuration.Service{{Name: testService, Slots: testSlots, Timeout: testTimeout}},
	})
	var instances []fleet.Instance
	for i := range claimUpstreams {
		instances = append(instances, fleet.Instance{ID: fmt.Sprintf("tags-%d", i+1), AvailabilityZone: "az-1"})
	}
	p.SetInstances(testService, instances, now)
	p.SetConfirmedUntil(now.Add(time.Hour), now)
	p.SetView(slots.View{Members: []membership.EntryID{"entry-1", "entry-2"}, Clean: true}, now)
	p.SetFixedSlots(func(string) int { return 1 })
	p.Tick(now)
	return p, instances
}

// claiming returns an idle placer that was asked for more than its slots take.
func claiming(now time.Time) (*dispatch.Placer, []fleet.Instance) {
	p, instances := idle(now)
	for range claimUpstreams * testSlots {
		p.Acquire(testService, &admission.Ticket{Team: "herders", Receiver: ignoringReceiver{}}, now)
	}
	return p, instances
}

// claimed returns the items of one routine round a second after now.
func claimed(p *dispatch.Placer, now time.Time) []slots.Report {
	for _, o := range p.NextBatches(now, false) { // tells the service how many entries there are
		p.BatchLost(o)
	}
	for range 10 {
		now = now.Add(testRound)
		p.Tick(now)
	}
	var items []slots.Report
	for _, o := range p.NextBatches(now, true) {
		p.BatchLost(o)
		items = append(items, o.Batch.Reports...)
	}
	return items
}

var _ = Describe("the claims of an entry", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("ask every home for more while the entry is short of its guaranteed share", func() {
		p, _ := claiming(now)
		items := claimed(p, now)
		Expect(items).NotTo(BeEmpty())
		for _, item := range items {
			Expect(item.Need).To(BeNumerically(">", item.Held), item.Upstream)
		}
	})

	It("ask nothing of an upstream that has gone", func() {
		p, instances := claiming(now)
		p.SetInstances(testService, instances[:claimUpstreams/2], now) // requests are still at work on the others
		kept := make(map[string]bool)
		for _, i := range instances[:claimUpstreams/2] {
			kept[i.ID] = true
		}
		gone := 0
		for _, item := range claimed(p, now) {
			if !kept[item.Upstream] {
				gone++
				Expect(item.Need).To(BeZero(), item.Upstream)
			}
		}
		Expect(gone).To(BeNumerically(">", 0))
	})
})
