package poolmanager

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/upkeep"
)

// One malformed message or unexpected error took a whole process down, with all its
// pools and its callers' requests.
var _ = Describe("an unexpected error in one ownership", func() {
	var (
		s    *ownershipScene
		logs *observer.ObservedLogs
	)

	BeforeEach(func() {
		s = newOwnershipScene()
		var core zapcore.Core
		core, logs = observer.New(zap.ErrorLevel)
		s.manager.Log = zap.New(core)
		s.manager.Directory = panickingDirectory{}
		s.store.put("workers/a", nil, 0)
	})
	start := func() *poolOwnership {
		token := s.store.put(poolstore.OwnerKey(sceneService), []byte(sceneEntry), sceneLease)
		s.manager.startOwnership(sceneService, token, sceneLease, 0)
		s.manager.mu.Lock()
		defer s.manager.mu.Unlock()
		return s.manager.ownerships[sceneService]
	}

	It("ends that ownership alone, with one line in the log, and the pool can be taken over again after a pause", func() {
		o := start()
		Eventually(o.ctx.Done()).Should(BeClosed())
		Expect(s.manager.owns(sceneService)).To(BeTrue())
		Eventually(func() <-chan struct{} { // other goroutines wait on the clock too, so the pause may begin later
			s.clock.Advance(failedOwnershipPause)
			return o.done
		}).Should(BeClosed())
		Expect(s.manager.owns(sceneService)).To(BeFalse())
		Expect(logs.All()).To(HaveLen(1))

		s.manager.Directory = fakeDirectory{}
		again := start()
		Eventually(again.loaded.Load).Should(BeTrue())
		Consistently(again.ctx.Done()).ShouldNot(BeClosed())
		again.cancel()
		Eventually(again.done).Should(BeClosed())
	})

	It("delays the next take-over for exactly the pause", func() {
		clock := clockwork.NewFakeClock()
		o := &poolOwnership{Manager: &Manager{Dependencies: Dependencies{Clock: clock}}, leaving: make(chan struct{})}
		o.failed.Store(true)
		over := make(chan struct{})
		go func() {
			defer close(over)
			o.pauseIfFailed()
		}()
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed(), "nobody else waits on this clock")
		clock.Advance(failedOwnershipPause - 1)
		Consistently(over, 50*time.Millisecond).ShouldNot(BeClosed())
		clock.Advance(1)
		Eventually(over).Should(BeClosed())
	})

	It("does not delay a hand-over of all pools", func() {
		o := start()
		Eventually(o.ctx.Done()).Should(BeClosed())
		s.manager.handOverAll()
		Expect(o.done).To(BeClosed())
	})

	It("in a notice of another entry ends the ownership", func() {
		s.manager.Directory = fakeDirectory{}
		o := s.load()
		pool := o.pool
		o.pool = nil
		o.receiveNotice(Notice{Service: sceneService, Job: "j", Cancelled: true, Revision: o.token + 1})
		o.pool = pool
		Expect(o.ctx.Done()).To(BeClosed())
		Expect(logs.All()).To(HaveLen(1))
	})

	It("in one of the concurrent orders to machines ends the role, and does not count as an order accepted", func() {
		s, _ := newControllerScene()
		s.manager.Machines = &panickingMachines{}
		c := newMachineController(s.own())
		machines := map[string]upkeep.Machine{"m-a": {ID: "m-a", Pool: "other", State: upkeep.Up}}
		c.moveAll(context.Background(), []lending.Move{{Machine: "m-a", Target: sceneService}}, machines)
		Expect(c.ctx.Done()).To(BeClosed())
		Expect(c.inTransit).To(BeEmpty())
	})

	It("in a loop of the entry restarts that loop", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var runs int
		var once sync.Once
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.manager.keepRunning(ctx, func(context.Context) {
				runs++
				once.Do(func() { panic("unexpected") })
				cancel()
			})
		}()
		Expect(s.clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		s.clock.Advance(failedOwnershipPause)
		Eventually(done).Should(BeClosed())
		Expect(runs).To(Equal(2))
		Expect(logs.All()).To(HaveLen(1))
	})
})
