package platform_test

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/platform"
	standin "persimmonbay/internal/standin/platform"
)

var _ = Describe("the stand-in's store under concurrent writers", func() {
	ctx := context.Background()

	It("delivers every write to a watcher once and in order, and lists a consistent revision", func() {
		const writers, writes = 4, 250
		store := standin.NewStore(clockwork.NewFakeClock())
		var writing sync.WaitGroup
		for w := range writers {
			writing.Go(func() {
				for range writes {
					_, err := store.Put(ctx, keys[w], nil, platform.Any(), "")
					if err != nil {
						panic(err)
					}
				}
			})
		}
		last := uint64(0)
		for last < writers*writes {
			changes, err := store.Watch(ctx, "", last, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			for _, e := range changes.Events {
				Expect(e.Revision).To(Equal(last + 1))
				last = e.Revision
			}
			listing, err := store.List(ctx, "")
			Expect(err).NotTo(HaveOccurred())
			newest := uint64(0)
			for _, kv := range listing.Items {
				newest = max(newest, kv.Version)
			}
			Expect(newest).To(Equal(listing.Revision))
		}
		writing.Wait()
	})

	It("lets one of several concurrent writers win each version", func() {
		store := standin.NewStore(clockwork.NewFakeClock())
		base := uint64(0)
		for range 50 {
			versions := make([]uint64, 4)
			var writing sync.WaitGroup
			for w := range versions {
				writing.Go(func() {
					if v, err := store.Put(ctx, "k", nil, platform.IfVersion(base), ""); err == nil {
						versions[w] = v
					}
				})
			}
			writing.Wait()
			winners := 0
			for _, v := range versions {
				if v != 0 {
					winners, base = winners+1, v
				}
			}
			Expect(winners).To(Equal(1))
		}
	})

	It("deletes the keys bound to an expired lease, and no others", func() {
		clock := clockwork.NewFakeClock()
		store := standin.NewStore(clock)
		lease, err := store.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Put(ctx, "bound", nil, platform.Any(), lease)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Put(ctx, "rebound", nil, platform.Any(), lease)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Put(ctx, "rebound", nil, platform.Any(), "")
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(2 * time.Second)
		Eventually(func() error { _, err := store.Get(ctx, "bound"); return err }).Should(HaveOccurred())
		_, err = store.Get(ctx, "rebound")
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses a watch from a revision that is too old with the advice to list again", func() {
		store := standin.NewStore(clockwork.NewFakeClock())
		for range 1<<16 + 1 {
			_, err := store.Put(ctx, "k", nil, platform.Any(), "")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := store.Watch(ctx, "", 0, time.Second)
		Expect(err).To(MatchError(ContainSubstring("list again")))
	})
})
