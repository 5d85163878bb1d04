package request

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/problem"
)

// Guards against a retry budget that a pause of the process uses up, by repeating
// all its requests although their answers have arrived.
var _ = Describe("requests in progress while the process is paused for longer than the silence limit", func() {
	const pause = 3 * silenceLimit
	var (
		clock      *clockwork.FakeClock
		sender     *scriptedSender
		answerLate chan struct{}
		done       chan Result
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(time.Now())
		answerLate, done = make(chan struct{}), make(chan Result, 1)
		sender = &scriptedSender{script: func(ctx context.Context, id string) (Answer, error) {
			if id != "a" {
				return Answer{Status: 200}, nil
			}
			select {
			case <-ctx.Done():
				return Answer{}, problem.New(problem.Interrupted, problem.StepReceive, id, "")
			case <-answerLate:
				return Answer{Status: 201}, nil
			}
		}}
		server := newTestServer(clock, &listedDispatcher{instances: []string{"a", "b"}}, sender)
		go func() {
			done <- server.Serve(context.Background(), &Request{Service: "tags", Team: "herders", Method: "GET", Path: "/1"})
		}()
		Eventually(sender.instances, eventuallyTimeout).Should(HaveLen(1))
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(pause)
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	})

	It("are not repeated when the answer came meanwhile", func() {
		close(answerLate)
		var result Result
		Eventually(done, eventuallyTimeout).Should(Receive(&result))
		Expect(result.Answer.Status).To(Equal(201))
		Expect(sender.instances()).To(Equal([]string{"a"}))
	})

	It("are repeated a quarter of the limit after the pause, also when another one follows", func() {
		clock.Advance(silenceLimit/extensionDivisor - time.Nanosecond)
		Consistently(sender.instances, "50ms").Should(HaveLen(1))
		clock.Advance(pause)
		var result Result
		Eventually(done, eventuallyTimeout).Should(Receive(&result))
		Expect(result.Answer.Status).To(Equal(200))
		Expect(sender.instances()).To(Equal([]string{"a", "b"}))
	})
})
