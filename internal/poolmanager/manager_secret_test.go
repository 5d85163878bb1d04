package poolmanager

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

var _ = Describe("the secret that entries share", func() {
	// Guards against a withdrawn secret that stays in use.
	It("is replaced by another one once it was withdrawn", func() {
		s := newOwnershipScene()
		current := func() []byte {
			secret, _ := s.manager.Secret()
			return secret
		}
		event := func(e store.Event) {
			s.manager.fleet.Update(func(old fleetView) (fleetView, bool) {
				next := old.clone()
				next.known = true
				Expect(next.apply(e, s.manager.Clock.Now())).To(Succeed())
				return next, true
			})
		}
		event(store.Event{Item: store.Item{Key: poolstore.SecretKey, Value: []byte("first")}})
		Expect(current()).To(Equal([]byte("first")))
		event(store.Event{Item: store.Item{Key: poolstore.SecretKey}, Deleted: true})
		Expect(current()).To(BeNil())
		s.manager.createSecret(context.Background())
		stored, err := s.store.Get(context.Background(), poolstore.SecretKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Value).To(HaveLen(secretBytes))
	})
})
