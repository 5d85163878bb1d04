package guard

import (
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/readbudget"
)

var _ = Describe("a guarded connection", func() {
	// net/http reads on while a request is served. With a body's deadline left in force, that read
	// failed after 5 s and the request was cancelled.
	It("has no deadline once its request is whole, whatever reads at that moment", func() {
		guard := New(1<<20, func() readbudget.Limits { return readbudget.Limits{} }, clockwork.NewRealClock(), zap.NewNop())
		places := guard.budget.Places(1)
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		c := &conn{Conn: near, guard: guard}
		account, ok := places.Open(guard.clock.Now(), c.evict)
		Expect(ok).To(BeTrue())
		c.account = account
		account.BeginBody(guard.clock.Now())
		c.mu.Lock()
		var reader sync.WaitGroup
		reader.Go(func() { c.refresh() })
		time.Sleep(20 * time.Millisecond) // so that the reader waits for mu
		Expect(account.Serve(guard.clock.Now())).To(BeTrue())
		c.mu.Unlock()
		reader.Wait()
		Expect(c.own.IsZero()).To(BeTrue())
	})
})
