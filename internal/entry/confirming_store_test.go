package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/platform"
	standin "persimmonbay/internal/standin/platform"
)

var _ = ginkgo.Describe("an entry's view of the records", func() {
	ginkgo.It("is confirmed only once everything read from the store is applied", func() {
		clock := clockwork.NewFakeClock()
		s := newConfirmingStore(standin.NewStore(clock), clock)
		readAt := clock.Now()
		_, err := s.Put(context.Background(), "key", nil, platform.Any(), "")
		Expect(err).NotTo(HaveOccurred())
		listing, err := s.List(context.Background(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.confirmed.Get()).To(Equal(storeRead{}))
		clock.Advance(time.Second)
		s.confirm()
		Expect(s.confirmed.Get().startedAt).To(BeTemporally("==", readAt))
		Expect(s.confirmed.Get().revision).To(Equal(listing.Revision))
		Expect(s.confirm()).To(BeZero(), "nothing was read since")
	})
})
