package configuration_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"persimmonbay/internal/configuration"
)

var _ = Describe("the configuration in force", func() {
	It("never goes back, whatever order versions arrive in", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			offers := rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "offers")
			inForce := configuration.NewInForce()
			newest := configuration.Version(0)
			for _, offer := range offers {
				v := configuration.Version(offer)
				replaced := inForce.SetIfNewer(configuration.Versioned{Version: v})
				if replaced != (v > newest) {
					t.Fatalf("offer of %d over %d: replaced %v", v, newest, replaced)
				}
				newest = max(newest, v)
				if inForce.Get().Version != newest {
					t.Fatalf("version %d is in force, expected %d", inForce.Get().Version, newest)
				}
			}
		})
	})

	It("never goes back under concurrent offers", func() {
		inForce := configuration.NewInForce()
		var offers sync.WaitGroup
		for i := range 8 {
			offers.Go(func() {
				for v := i; v < 800; v += 8 {
					before := inForce.Get().Version
					inForce.SetIfNewer(configuration.Versioned{Version: configuration.Version(800 - v)})
					if after := inForce.Get().Version; after < before {
						panic("an older version replaced a newer one")
					}
				}
			})
		}
		offers.Wait()
		Expect(inForce.Get().Version).To(Equal(configuration.Version(800)))
	})

	It("closes the channel of Watch when it changes, and only then", func() {
		inForce := configuration.NewInForce()
		_, changed := inForce.Watch()
		Expect(inForce.SetIfNewer(configuration.Versioned{Version: 3})).To(BeTrue())
		Expect(changed).To(BeClosed())
		_, changed = inForce.Watch()
		Expect(inForce.SetIfNewer(configuration.Versioned{Version: 3})).To(BeFalse())
		Expect(changed).NotTo(BeClosed())
	})
})
