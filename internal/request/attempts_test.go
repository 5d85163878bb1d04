package request

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
)

// eventuallyTimeout is how long a condition may take to become true on a busy
// machine.
const eventuallyTimeout = 30 * time.Second

// silenceLimit is the silence limit of the service in these tests.
const silenceLimit = time.Second

const testKey = Key("019ae4a0-0000-7000-8000-000000000001")

var _ = Describe("attempts", func() {
	var (
		clock      *clockwork.FakeClock
		dispatcher *listedDispatcher
		sender     *scriptedSender
		server     *Server
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(time.Now())
		dispatcher = &listedDispatcher{instances: []string{"a", "b", "c", "d"}}
		sender = &scriptedSender{}
		server = newTestServer(clock, dispatcher, sender)
	})

	AfterEach(func() { Eventually(dispatcher.held.Load, eventuallyTimeout).Should(BeZero()) })

	serve := func(ctx context.Context, key Key) Result {
		return server.Serve(ctx, &Request{Service: "tags", Team: "herders", Method: "GET", Path: "/1", Key: key})
	}
	fails := func(kind problem.Kind) func(context.Context, string) (Answer, error) {
		return func(_ context.Context, id string) (Answer, error) {
			return Answer{}, problem.New(kind, problem.StepReceive, id, "")
		}
	}
	answers := Answer{Status: 200, Body: []byte("whole"), Length: 5}

	It("send a request with a key once, whatever its result", func() {
		for _, kind := range []problem.Kind{problem.Interrupted, problem.Timeout, problem.Internal} {
			before := len(sender.instances())
			sender.script = fails(kind)
			Expect(serve(context.Background(), testKey).Outcome).To(Equal(fleet.Unknown))
			Expect(sender.instances()).To(HaveLen(before + 1))
		}
	})

	It("place a request with a key on another instance when no byte was sent", func() {
		sender.script = func(ctx context.Context, id string) (Answer, error) {
			if id == "a" {
				return fails(problem.Unavailable)(ctx, id)
			}
			return answers, nil
		}
		Expect(serve(context.Background(), testKey).Outcome).To(Equal(fleet.Completed))
		Expect(sender.instances()).To(Equal([]string{"a", "b"}))
	})

	It("have the outcome not-run only when no byte was sent", func() {
		sender.script = fails(problem.Unavailable)
		Expect(serve(context.Background(), testKey).Outcome).To(Equal(fleet.NotRun))
		sender.script = func(ctx context.Context, id string) (Answer, error) {
			if id == "a" {
				return fails(problem.Unavailable)(ctx, id)
			}
			return fails(problem.Interrupted)(ctx, id)
		}
		Expect(serve(context.Background(), testKey).Outcome).To(Equal(fleet.Unknown))
	})

	It("complete a claimed request although its caller has gone", func() {
		ctx, cancel := context.WithCancel(context.Background())
		sender.script = func(ctx context.Context, _ string) (Answer, error) {
			cancel()
			return answers, ctx.Err()
		}
		Expect(serve(ctx, testKey).Outcome).To(Equal(fleet.Completed))
	})

	It("repeat an idempotent request on another instance over a fresh connection", func() {
		sender.script = func(ctx context.Context, id string) (Answer, error) {
			if id == "a" {
				return fails(problem.Interrupted)(ctx, id)
			}
			return answers, nil
		}
		Expect(serve(context.Background(), "").Outcome).To(Equal(fleet.Completed))
		Expect(sender.instances()).To(Equal([]string{"a", "b"}))
		Expect(sender.freshRequired()).To(Equal([]bool{false, true}))
	})

	It("return an upstream's refusal when no attempt has a better answer", func() {
		sender.script = func(context.Context, string) (Answer, error) { return Answer{Status: 503}, nil }
		result := serve(context.Background(), "")
		Expect(result.Outcome).To(Equal(fleet.Completed))
		Expect(result.Answer.Status).To(Equal(503))
		Expect(sender.instances()).To(HaveLen(maxAttempts))
	})

	It("end at the caller's deadline", func() {
		sender.script = func(ctx context.Context, id string) (Answer, error) {
			<-ctx.Done()
			return fails(problem.Timeout)(ctx, id)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(serve(ctx, "").Outcome).To(Equal(fleet.Unknown))
		Expect(sender.instances()).To(Equal([]string{"a"}))
	})

	DescribeTable("keep the load on failing upstreams within the retry budget",
		func(script func(context.Context, string) (Answer, error)) {
			sender.script = script
			const callers = 5000
			for range callers {
				serve(context.Background(), "")
			}
			sent := len(sender.instances())
			Expect(float64(sent)).To(BeNumerically("<=", callers*(1+RetryShare)+initialRetries))
			Expect(sent).To(BeNumerically(">", callers))
			GinkgoWriter.Printf("%d sent for %d callers\n", sent, callers)
		},
		Entry("that break connections", fails(problem.Interrupted)),
		Entry("that refuse requests", func(context.Context, string) (Answer, error) { return Answer{Status: 503}, nil }),
	)

	Context("when the first connection stays silent", func() {
		var answerLate chan struct{}

		BeforeEach(func() {
			answerLate = make(chan struct{})
			sender.script = func(ctx context.Context, id string) (Answer, error) {
				if id != "a" {
					return answers, nil
				}
				select {
				case <-ctx.Done():
					return fails(problem.Interrupted)(ctx, id)
				case <-answerLate:
					return Answer{Status: 201, Remainder: io.NopCloser(strings.NewReader("late")), Length: 4}, nil
				}
			}
		})

		started := func(key Key) chan Result {
			done := make(chan Result, 1)
			go func() { done <- serve(context.Background(), key) }()
			Eventually(sender.instances, eventuallyTimeout).Should(HaveLen(1))
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			return done
		}

		It("send an idempotent request to another instance after the silence limit", func() {
			done := started("")
			clock.Advance(silenceLimit)
			var result Result
			Eventually(done, eventuallyTimeout).Should(Receive(&result))
			Expect(result.Answer.Status).To(Equal(200))
		})

		It("do not repeat a request with a key", func() {
			done := started(testKey)
			for range 5 {
				clock.Advance(silenceLimit)
				Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			}
			Expect(sender.instances()).To(Equal([]string{"a"}))
			close(answerLate)
			var result Result
			Eventually(done, eventuallyTimeout).Should(Receive(&result))
			Expect(result.Answer.Status).To(Equal(201))
			Expect(result.Answer.Remainder.Close()).To(Succeed())
		})

		// Guards against two attempts at the same moment, after which none is left.
		It("give an attempt that follows a failed one its own silence limit", func() {
			fail := make(chan struct{})
			sender.script = func(ctx context.Context, id string) (Answer, error) {
				select {
				case <-ctx.Done():
				case <-fail:
				}
				return fails(problem.Interrupted)(ctx, id)
			}
			done := started("")
			clock.Advance(silenceLimit - time.Millisecond)
			fail <- struct{}{}
			Eventually(sender.instances, eventuallyTimeout).Should(HaveLen(2))
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(silenceLimit - time.Millisecond)
			Consistently(sender.instances, "50ms").Should(HaveLen(2))
			clock.Advance(time.Millisecond)
			Eventually(sender.instances, eventuallyTimeout).Should(HaveLen(3))
			close(fail)
			Eventually(done, eventuallyTimeout).Should(Receive())
		})

		It("return a slow answer when it is the first one", func() {
			cancelled := make(chan struct{})
			first := sender.script
			sender.script = func(ctx context.Context, id string) (Answer, error) {
				if id != "a" {
					<-ctx.Done()
					close(cancelled)
					return fails(problem.Interrupted)(ctx, id)
				}
				return first(ctx, id)
			}
			done := started("")
			clock.Advance(silenceLimit)
			Eventually(sender.instances, eventuallyTimeout).Should(HaveLen(2))
			close(answerLate)
			var result Result
			Eventually(done, eventuallyTimeout).Should(Receive(&result))
			Expect(result.Answer.Status).To(Equal(201))
			body, err := io.ReadAll(result.Answer.Remainder)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("late"))
			Expect(result.Answer.Remainder.Close()).To(Succeed())
			Eventually(cancelled, eventuallyTimeout).Should(BeClosed())
		})
	})
})
