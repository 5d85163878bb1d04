package jobentry

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/shard"
)

// storedSecret is a secretSource.
type storedSecret struct{ cell *shard.Cell[[]byte] }

// Secret implements secretSource.
func (s storedSecret) Secret() ([]byte, <-chan struct{}) { return s.cell.Watch() }

func (s storedSecret) set(secret []byte) {
	s.cell.Update(func([]byte) ([]byte, bool) { return secret, true })
}

var _ = ginkgo.Describe("the service of peers", func() {
	// Guards against an entry that goes on with a secret that was withdrawn, until its
	// restart.
	ginkgo.It("runs anew with the next secret when the one in use is withdrawn and replaced", func() {
		ctx, cancel := context.WithCancel(context.Background())
		stored := storedSecret{cell: shard.NewCell[[]byte](nil)}
		began, ended := make(chan string, 9), make(chan string, 9)
		follower := &secretFollower{source: stored, serve: func(ctx context.Context, secret []byte) error {
			began <- string(secret)
			<-ctx.Done()
			ended <- string(secret)
			return nil
		}}
		done := make(chan error, 1)
		go func() { done <- follower.run(ctx) }()
		stored.set([]byte("first"))
		Eventually(began).Should(Receive(Equal("first")))
		stored.set([]byte("first")) // something else has changed
		stored.set(nil)
		Consistently(ended, "50ms").ShouldNot(Receive())
		stored.set([]byte("second"))
		Eventually(ended).Should(Receive(Equal("first")))
		Eventually(began).Should(Receive(Equal("second")))
		cancel()
		Eventually(done).Should(Receive(BeNil()))
	})
})
