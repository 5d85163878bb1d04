package controller_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/seeds"
)

// Extent of the search for late reboots.
const (
	lateSeeds = 20 / seedShare
	lateRun   = 40 * time.Minute
)

var _ = Describe("a controller that is paused", func() {
	It("never reboots an instance that is back in service", func() {
		var pauses atomic.Int64
		seeds.Each(lateSeeds, func(seed uint64) {
			defer GinkgoRecover()
			w := newBurstFleet(seed)
			w.settle()
			l := &lateRebooter{simWave: w, entry: w.entries[0]}
			l.entry.controller.Rebooter, l.entry.store.onGet = l, l.maybePause
			w.startWave()
			for start := w.now(); w.now().Sub(start) < lateRun; {
				w.tick(false)
				Expect(l.rebootedServing).To(BeEmpty(), func() string { return seedReport(seed, w.simWorld) })
			}
			pauses.Add(int64(l.pauses))
		})
		GinkgoWriter.Printf("pauses over %d seeds: %d\n", lateSeeds, pauses.Load())
		Expect(pauses.Load()).To(BeNumerically(">", lateSeeds))
	})

	It("requests no reboot when its control lease is about to end", func() {
		for leaseLeft, requested := range map[time.Duration]int{0: 0, time.Second: 0, leaseTTL: 1} {
			f := newCallsFleet(1, maintenance.DefaultPolicy())
			f.control.HeldUntil = func() time.Time { return f.now().Add(leaseLeft) }
			f.addPool("tags", 1, maintenance.Budget{Share: 1})
			r := maintenance.Record{Instance: "tags-00", Pool: "tags", Home: "tags", Phase: maintenance.Rebooting, Since: f.now()}
			f.control.Apply(context.Background(), maintenance.Changes{Records: []maintenance.Record{r}, Reboots: []maintenance.Record{r}}, f.now())
			Expect(f.returnsAt).To(HaveLen(requested), "lease left: %s", leaseLeft)
		}
	})
})
