package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/maintenance"
)

// Targets for the calls to the platform for pools and waves.
const (
	callsTarget = 10 // calls a second
	callsWindow = 10 // seconds over which the peak is averaged
	callsFor    = 10 * time.Minute
	targetPools = 250
)

var _ = Describe("a wave over 910 instances", func() {
	It("calls the platform less than ten times a second, also at its start", func() {
		f, wave := startCallsWave(targetPools)
		for f.now().Sub(wave.Started) < callsFor {
			f.tick(context.Background())
		}
		Expect(f.returnsAt).NotTo(BeEmpty(), "no instance is rebooting")
		Expect(f.store.perSecond("")).To(BeNumerically("<", callsTarget))
		Expect(f.store.peak(callsWindow)).To(BeNumerically("<", callsTarget))
	})
})

var _ = Describe("a plan with many records", func() {
	It("is written in groups with a gap between them, so that other calls fit into the platform's rate limit", func() {
		f := newCallsFleet(1, maintenance.DefaultPolicy())
		f.control.WriteRate = controller.WriteRate{Group: 16, Gap: time.Second}
		f.addPool("tags", 40, maintenance.Budget{Share: 1})
		f.readList()
		s, _ := f.Snapshot(context.Background())
		done := make(chan int)
		go func() {
			done <- f.control.Apply(context.Background(), maintenance.Plan(&s, f.control.Policy), f.clock.Now())
		}()
		for _, written := range []int{16, 32} {
			Expect(f.clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			Expect(f.records()).To(Equal(written))
			f.clock.Advance(time.Second)
		}
		Eventually(done).Should(Receive(Equal(40)))
	})
})

// records returns the number of records in the store.
func (f *callsFleet) records() int {
	listing, err := f.store.List(context.Background(), "persimmonbay/maintenance/instances/")
	Expect(err).NotTo(HaveOccurred())
	return len(listing.Items)
}
