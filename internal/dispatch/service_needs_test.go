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

// needUpstreams is how many upstreams the needs are spread over.
const needUpstreams = 8

// idlePlacer returns a placer that holds one free slot of each of needUpstreams.
func idlePlacer(now time.Time) (*dispatch.Placer, []fleet.Instance) {
	p := dispatch.NewPlacer(slots.Holder{Entry: "entry-1", Incarnation: 1}, "az-1", now,
		func(s admission.Shares) admission.Order { return admission.NewFair(s, admission.DefaultLimits) })
	p.Configure(&configuration.Configuration{
		Teams:    []configuration.Team{{Name: "herders", Weight: 1}},
		Services: []configuration.Service{{Name: testService, Slots: testSlots, Timeout: testTimeout}},
	})
	var instances []fleet.Instance
	for i := range needUpstreams {
		instances = append(instances, fleet.Instance{ID: fmt.Sprintf("tags-%d", i+1), AvailabilityZone: "az-1"})
	}
	p.SetInstances(testService, instances, now)
	p.SetConfirmedUntil(now.Add(time.Hour), now)
	p.SetView(slots.View{Members: []membership.EntryID{"entry-1", "entry-2"}, NoPredecessor: true}, now)
	p.SetFixedSlots(func(string) int { return 1 })
	p.Tick(now)
	return p, instances
}

// busyPlacer returns a placer that was offered more requests than its slots take.
func busyPlacer(now time.Time) (*dispatch.Placer, []fleet.Instance) {
	p, instances := idlePlacer(now)
	for range needUpstreams * testSlots {
		p.Acquire(testService, &admission.Ticket{Team: "herders", Receiver: ignoringReceiver{}}, now)
	}
	return p, instances
}

// reportsOf returns the reports of one routine round a second after now.
func reportsOf(p *dispatch.Placer, now time.Time) []slots.Report {
	for _, o := range p.NextBatches(now, false) { // sets the number of entries in the service
		p.BatchLost(o)
	}
	for range 10 {
		now = now.Add(testRound)
		p.Tick(now)
	}
	var reports []slots.Report
	for _, o := range p.NextBatches(now, true) {
		p.BatchLost(o)
		reports = append(reports, o.Batch.Reports...)
	}
	return reports
}

var _ = Describe("the needs that an entry reports", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("exceed its slots at every home while the entry is below its guaranteed share", func() {
		p, _ := busyPlacer(now)
		reports := reportsOf(p, now)
		Expect(reports).NotTo(BeEmpty())
		for _, report := range reports {
			Expect(report.Need).To(BeNumerically(">", report.Held), report.Upstream)
		}
	})

	It("are zero for an upstream that is no longer listed", func() {
		p, instances := busyPlacer(now)
		p.SetInstances(testService, instances[:needUpstreams/2], now) // requests still run on the others
		listed := make(map[string]bool)
		for _, i := range instances[:needUpstreams/2] {
			listed[i.ID] = true
		}
		unlisted := 0
		for _, report := range reportsOf(p, now) {
			if !listed[report.Upstream] {
				unlisted++
				Expect(report.Need).To(BeZero(), report.Upstream)
			}
		}
		Expect(unlisted).To(BeNumerically(">", 0))
	})
})
