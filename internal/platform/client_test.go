package platform_test

import (
	"context"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	standin "persimmonbay/internal/standin/platform"
)

var _ = Describe("the client of the platform", func() {
	ctx := context.Background()

	It("reads, writes, lists and deletes keys with slashes and conditions", func() {
		r := newRig(time.Minute)
		version, err := r.client.Put(ctx, "a/b c/ü?x", []byte("one"), platform.MustNotExist(), "")
		Expect(err).NotTo(HaveOccurred())
		_, err = r.client.Put(ctx, "a/b c/ü?x", []byte("two"), platform.MustNotExist(), "")
		Expect(problem.KindOf(err)).To(Equal(problem.Conflict))
		kv, err := r.client.Get(ctx, "a/b c/ü?x")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(kv.Value)).To(Equal("one"))
		Expect(kv.Version).To(Equal(version))
		listing, err := r.client.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Items).To(HaveLen(1))
		Expect(r.client.Delete(ctx, "a/b c/ü?x", platform.IfVersion(version))).To(Succeed())
		_, err = r.client.Get(ctx, "a/b c/ü?x")
		Expect(problem.KindOf(err)).To(Equal(problem.NotFound))
	})

	It("reports a write whose response was lost as interrupted, though it took effect", func() {
		r := newRig(time.Minute)
		r.standin.SetFaults(standin.Faults{LoseResponses: 1, Seed: 3})
		_, err := r.client.Put(ctx, "k", []byte("v"), platform.MustNotExist(), "")
		Expect(problem.KindOf(err)).To(Equal(problem.Interrupted))
		r.standin.SetFaults(standin.Faults{})
		_, err = r.client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
	})

	It("reports an outage and an address without a server as unavailable", func() {
		r := newRig(time.Minute)
		r.standin.SetFaults(standin.Faults{Outage: true})
		_, err := r.client.Put(ctx, "k", nil, platform.Any(), "")
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable))
		unserved := platform.NewClient("http://127.0.0.1:1", time.Minute)
		_, err = unserved.Put(ctx, "k", nil, platform.Any(), "")
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable))
	})

	It("times out calls to a platform that never responds", func() {
		r := newRig(100 * time.Millisecond)
		r.standin.SetFaults(standin.Faults{Silent: true})
		_, err := r.client.Get(ctx, "k")
		Expect(problem.KindOf(err)).To(Equal(problem.Timeout))
	})

	It("closes all silent connections after one timeout and reuses none", func() {
		const connections = 8
		r := newRig(200 * time.Millisecond)
		r.openIdle(ctx, connections)
		r.relay.Silence()
		_, err := r.client.Get(ctx, "k")
		Expect(problem.KindOf(err)).To(Equal(problem.Timeout))
		for range connections {
			_, err = r.client.Get(ctx, "k")
			Expect(problem.KindOf(err)).To(Equal(problem.NotFound))
		}
	})

	It("counts calls by purpose and kind", func() {
		r := newRig(time.Minute)
		membership := r.client.WithPurpose(platform.PurposeMembership)
		_, _ = r.client.Get(ctx, "k")
		_, _ = r.client.Get(ctx, "k")
		_, _ = r.client.Put(ctx, "k", nil, platform.Any(), "")
		_, _ = membership.Watch(ctx, "k", 0, time.Second)
		_, _ = membership.Grant(ctx, time.Minute)
		Expect(r.client.Counts().Snapshot()).To(ConsistOf(
			platform.CallCount{Purpose: platform.PurposeConfiguration, Kind: "read", Calls: 2},
			platform.CallCount{Purpose: platform.PurposeConfiguration, Kind: "write", Calls: 1},
			platform.CallCount{Purpose: platform.PurposeMembership, Kind: "watch", Calls: 1},
			platform.CallCount{Purpose: platform.PurposeMembership, Kind: "write", Calls: 1},
		))
		Expect(r.standin.Calls()).To(Equal(standin.Calls{Reads: 2, Writes: 2, Watches: 1}))
	})

	It("reports calls that the platform rejects above its rate limits as unavailable and without effect", func() {
		r := newRig(time.Minute)
		r.standin.SetRates(standin.Rates{Writes: 1, Reads: 1})
		refused := 0
		for range 3 {
			if _, err := r.client.Put(ctx, "k", nil, platform.Any(), ""); problem.Is(err, problem.Unavailable) {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(r.standin.Calls().Refused).To(Equal(uint64(refused)))
	})

	It("reports a value above the platform's size limit as invalid", func() {
		r := newRig(time.Minute)
		_, err := r.client.Put(ctx, "k", []byte(strings.Repeat("x", 1<<20+1)), platform.Any(), "")
		Expect(problem.KindOf(err)).To(Equal(problem.Invalid))
	})

	It("reports the renewal of a revoked lease as not found", func() {
		r := newRig(time.Minute)
		lease, err := r.client.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.client.Renew(ctx, lease)).To(Succeed())
		Expect(r.client.Revoke(ctx, lease)).To(Succeed())
		Expect(problem.KindOf(r.client.Renew(ctx, lease))).To(Equal(problem.NotFound))
	})
})

// openIdle opens at least n connections, by concurrent watches, and leaves them
// idle in the client's pool.
func (r *rig) openIdle(ctx context.Context, n int) {
	GinkgoHelper()
	before, err := r.client.List(ctx, "")
	Expect(err).NotTo(HaveOccurred())
	var watches sync.WaitGroup
	for range n {
		watches.Go(func() { _, _ = r.client.Watch(ctx, "", before.Revision, time.Minute) })
	}
	Eventually(r.relay.Open).Should(BeNumerically(">=", n))
	_, err = r.standin.Store.Put(ctx, "wake", nil, platform.Any(), "")
	Expect(err).NotTo(HaveOccurred())
	watches.Wait()
}
