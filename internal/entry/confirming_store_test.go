package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "persimmonbay/internal/standin/platform"
)

var _ = ginkgo.Describe("an entry's view of the records", func() {
	ginkgo.It("is confirmed only once everything read from the store is applied", func() {
		clock := clockwork.NewFakeClock()
		s := newConfirmingStore(standin.NewStore(clock), clock)
		readAt := clock.Now()
		_, err := s.List(context.Background(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.confirmed.Get()).To(BeZero())
		clock.Advance(time.Second)
		s.confirm()
		Expect(s.confirmed.Get()).To(BeTemporally("==", readAt))
		Expect(s.confirm()).To(BeZero(), "nothing was read since")
	})
})
