package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("a page that takes longer than usual to arrive", func() {
	// The link carries callers and workers too; a page of one megabyte is read from its
	// beginning with each try.
	It("is read in the end, as later tries wait longer", func() {
		s := newOwnershipScene()
		s.accept("job-0")
		slow := &slowPages{fakeStore: s.store, needed: 5 * time.Second}
		r := &rangeRead{prefix: poolstore.JobsPrefix(sceneService)}
		var err error
		for range 10 {
			if err = r.finish(context.Background(), slow); err == nil {
				break
			}
		}
		Expect(err).NotTo(HaveOccurred())
	})
})
