package platform_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	standin "persimmonbay/internal/standin/platform"
)

var _ = Describe("a watcher", func() {
	It("lists again when its revision is too old", func() {
		store := &scriptedStore{
			listings: []api.Listing{{Revision: 3}, {Revision: 90, Items: []api.KeyValue{{Key: "k", Version: 80}}}},
			changes:  []api.Changes{{Revision: 5}, {}, {Revision: 91}},
			done:     make(chan struct{}),
		}
		versions := follow(store, store.done)
		Expect(versions).To(Equal([]uint64{80}))
		Expect(store.afters).To(Equal([]uint64{3, 5, 90, 91}))
	})

	It("with InForce never goes back to an older version, in whatever order events arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			store := &scriptedStore{listings: []api.Listing{{Revision: 1}}, done: make(chan struct{})}
			newest := uint64(0)
			for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 30)).Draw(t, "versions") {
				newest = max(newest, version)
				store.changes = append(store.changes, api.Changes{Revision: version, Events: []api.Event{{Type: api.EventPut, Version: version}}})
			}
			inForce := configuration.NewInForce()
			last := configuration.Version(0)
			for _, version := range follow(store, store.done) {
				inForce.SetIfNewer(configuration.Versioned{Version: configuration.Version(version)})
				if inForce.Get().Version < last {
					t.Fatalf("went back from %d to %d", last, inForce.Get().Version)
				}
				last = inForce.Get().Version
			}
			if uint64(last) != newest {
				t.Fatalf("%d in force, not the newest %d", last, newest)
			}
		})
	})

	It("continues over HTTP after an outage without missing an event", func() {
		r := newRig(time.Minute)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		seen, reached := make(chan uint64, 10), make(chan bool, 1000)
		w := &platform.Watcher{
			Store: r.client, Prefix: "k", Wait: 50 * time.Millisecond, Clock: clockwork.NewRealClock(), Log: zap.NewNop(),
			OnListing:  func(api.Listing) {},
			OnEvent:    func(e api.Event) { seen <- e.Version },
			OnResponse: func(ok bool) { reached <- ok },
		}
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		Eventually(reached).Should(Receive(BeTrue()))
		r.standin.SetFaults(standin.Faults{Outage: true})
		Eventually(reached).Should(Receive(BeFalse()))
		first, err := r.standin.Store.Put(ctx, "k", nil, platform.Any(), "")
		Expect(err).NotTo(HaveOccurred())
		second, err := r.standin.Store.Put(ctx, "k", nil, platform.Any(), "")
		Expect(err).NotTo(HaveOccurred())
		r.standin.SetFaults(standin.Faults{})
		Eventually(seen, "20s").Should(Receive(Equal(first)))
		Eventually(seen, "20s").Should(Receive(Equal(second)))
		stop()
		<-done
	})
})

// follow runs a watcher until done is closed and returns the versions that it
// received, in order.
func follow(store platform.Store, done <-chan struct{}) []uint64 {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { <-done; stop() }()
	var versions []uint64
	w := &platform.Watcher{
		Store: store, Prefix: "k", Clock: clockwork.NewRealClock(), Log: zap.NewNop(),
		OnListing: func(l api.Listing) {
			for _, kv := range l.Items {
				versions = append(versions, kv.Version)
			}
		},
		OnEvent:    func(e api.Event) { versions = append(versions, e.Version) },
		OnResponse: func(bool) {},
	}
	w.Run(ctx)
	return versions
}
