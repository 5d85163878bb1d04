package poolmanager

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("a watch whose response never arrives", func() {
	readsAll := func(tooLarge bool) {
		s := newOwnershipScene()
		s.accept("job-0")
		o := s.load()
		s.accept("job-1") // during the load
		o.Store = &largeWatches{fakeStore: s.store, upTo: s.store.revision, tooLarge: tooLarge}
		w := o.newWatcher(poolstore.JobsPrefix(sceneService), o.resetWork, o.applyWork)
		w.clock, w.wait, w.timeout = clockwork.NewRealClock(), time.Millisecond, time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx, o.token)
		}()
		defer func() { cancel(); <-done }()
		Eventually(func() bool { return o.pool.HasJob("job-1") }, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	}

	// A watch begins at the revision of the first page that the load has read, however
	// long ago that was; its response has no bound but the time.
	It("is replaced by a read of all keys", func() { readsAll(false) })

	// Review case 8 (CONFIG): an entry that had been cut off while 25 large versions of the
	// configuration came asked for all of them again and again.
	It("is replaced by a read of all keys if the response is larger than a process reads", func() { readsAll(true) })
})
