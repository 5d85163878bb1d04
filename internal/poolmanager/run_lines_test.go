package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// Issue 47: the logs did not show which start a worker had accepted, what an owner took
// over, nor why it started a task again.
var _ = Describe("the lines about runs", func() {
	var (
		s    *ownershipScene
		o    *poolOwnership
		logs *observer.ObservedLogs
	)

	BeforeEach(func() {
		s = newOwnershipScene()
		core, observed := observer.New(zap.InfoLevel)
		s.manager.Log, logs = zap.New(core), observed
		o = s.load()
	})
	// line returns the fields of the only line with the message.
	line := func(message string) map[string]any {
		found := logs.FilterMessage(message).All()
		ExpectWithOffset(1, found).To(HaveLen(1), message)
		return found[0].ContextMap()
	}

	DescribeTable("show the answer to each start, and what the start rests on",
		func(answer scheduler.OrderResult, message string) {
			s.manager.Workers = &fakeAnswers{answer: answer, took: 40 * time.Millisecond, clock: s.clock}
			order := s.planStart(o, "j")
			s.clock.Advance(10 * time.Millisecond)
			o.startTask(order)
			Expect(line(message)).To(SatisfyAll(
				HaveKeyWithValue("token", o.token), HaveKeyWithValue("job", "j"), HaveKeyWithValue("step", int64(0)), HaveKeyWithValue("index", int64(0)),
				HaveKeyWithValue("attempt", int64(order.Attempt)), HaveKeyWithValue("worker", "a"), HaveKeyWithValue("incarnation", int64(1)),
				HaveKeyWithValue("answer", answer.String()), HaveKeyWithValue("took", 40*time.Millisecond),
				HaveKeyWithValue("lease_ends_in", order.LeaseEndsAt.Sub(s.clock.Now())), HaveKeyWithValue("clock_age", 50*time.Millisecond)))
			Expect(order.LeaseEndsAt.Sub(s.clock.Now())).To(BeNumerically(">", sceneTiming.RunLease))
		},
		Entry("accepted", scheduler.Accepted, "task started"),
		Entry("unanswered", scheduler.NoResponse, "task not started, or its start not confirmed by its worker"),
		Entry("refused", scheduler.InsufficientCapacity, "task not started, or its start not confirmed by its worker"))

	It("show what an owner takes over, what it gives up and why, and what it starts again after that", func() {
		s.list(o, "a", "b")
		o.addJob("j", s.accept("j"), store.Item{}, s.clock.Now())
		former := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 3, Percent: 100}
		s.poll(o, "a", former)
		o.logEvents()
		Expect(line("run of a former owner taken over")).To(SatisfyAll(
			HaveKeyWithValue("token", o.token), HaveKeyWithValue("job", "j"), HaveKeyWithValue("attempt", int64(3)), HaveKeyWithValue("worker", "a"),
			HaveKeyWithValue("incarnation", int64(1)), HaveKeyWithValue("lease_ends_in", BeNumerically(">", sceneTiming.RunLease))))

		const pollsUntilGone = 6
		for range pollsUntilGone {
			o.pool.NextPoll("a", s.clock.Now())
			s.silence(o, "a")
		}
		for range 10 {
			s.clock.Advance(time.Second)
			s.poll(o, "b")
			o.pool.RosterSaved(o.pool.Roster(s.clock.Now()))
			o.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		o.logEvents()
		Expect(line("run given up without its end")).To(SatisfyAll(
			HaveKeyWithValue("job", "j"), HaveKeyWithValue("attempt", int64(3)), HaveKeyWithValue("worker", "a"), HaveKeyWithValue("incarnation", int64(1)),
			HaveKeyWithValue("why", string(scheduler.LeaseOver)), HaveKeyWithValue("report_age", 10*time.Second),
			HaveKeyWithValue("start_unanswered_for", time.Duration(0)), HaveKeyWithValue("start_answered", true)))
		Expect(line("task starts again after a run elsewhere")).To(SatisfyAll(
			HaveKeyWithValue("job", "j"), HaveKeyWithValue("worker", "b"), HaveKeyWithValue("incarnation", int64(1)), HaveKeyWithValue("former_worker", "a"),
			HaveKeyWithValue("former_incarnation", int64(1)), HaveKeyWithValue("former_attempt", int64(3)), HaveKeyWithValue("former_outcome", string(scheduler.LeaseOver))))
	})

	It("show both incarnations when a worker has restarted", func() {
		s.list(o, "a")
		s.poll(o, "a")
		o.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.clock.Now(), ReceivedAt: s.clock.Now(), Incarnation: 2, Clock: 5})
		o.logEvents()
		Expect(line("worker or job in doubt")).To(SatisfyAll(HaveKeyWithValue("event", "another life answered"), HaveKeyWithValue("worker", "a"),
			HaveKeyWithValue("incarnation", int64(2)), HaveKeyWithValue("former_incarnation", int64(1)), HaveKeyWithValue("token", o.token)))
	})

	It("are bounded under load, and tell how many were left out", func() {
		order, event := scheduler.StartOrder{Worker: "a"}, scheduler.Event{Kind: scheduler.RunTakenOver, Worker: "a"}
		now := s.clock.Now()
		for range startLinesBurst + 7 {
			o.lines.logStart(&order, scheduler.Accepted, 0, now)
		}
		for range eventLinesBurst + 5 {
			o.lines.logEvent(&event, now)
		}
		Expect(logs.FilterMessage("task started").Len()).To(Equal(startLinesBurst))
		Expect(logs.FilterMessage(scheduler.RunTakenOver.String()).Len()).To(Equal(eventLinesBurst))
		o.lines.logOmitted(2)
		o.lines.logOmitted(3)
		Expect(line("lines about runs left out")).To(SatisfyAll(HaveKeyWithValue("starts", int64(7)), HaveKeyWithValue("events", int64(7))))
		s.clock.Advance(omittedInterval)
		o.lines.logOmitted(3)
		o.lines.logOmitted(3)
		Expect(logs.FilterMessage("lines about runs left out").Len()).To(Equal(2))
	})
})
