package poolstore_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("the stored progress of a wave", func() {
	// A next machine controller could not tell which machines were ordered down just
	// before, and asked pools to empty machines by a time long past.
	It("keeps every field", func() {
		at := time.Date(2026, 12, 5, 16, 0, 0, 123456789, time.UTC)
		p := upkeep.Progress{
			Ordered: map[string]string{"m": "w"}, OrderedAt: map[string]time.Time{"m": at.Add(time.Second)},
			Confirmed: map[string]bool{"m": true}, Done: map[string]bool{"n": true}, Since: at,
		}
		value, err := poolstore.EncodeUpkeep(&p)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := poolstore.DecodeUpkeep(poolstore.UpkeepKey(3), value)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(p))
	})
})
