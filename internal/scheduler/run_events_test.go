package scheduler_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("events about runs", func() {
	ofKind := func(events []scheduler.Event, kind scheduler.EventKind) []scheduler.Event {
		return slices.DeleteFunc(slices.Clone(events), func(e scheduler.Event) bool { return e.Kind != kind })
	}
	// taken returns the events of the kind since the last call.
	taken := func(s *scene, kind scheduler.EventKind) []scheduler.Event { return ofKind(s.pool.TakeEvents(), kind) }
	former := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 3, Percent: 100}

	It("show a run that is taken over, and until when its lease may last", func() {
		s := newScene(worker("a"))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.poll("a", []scheduler.RunReport{former})
		e := only(taken(s, scheduler.RunTakenOver))
		Expect(e).To(Equal(scheduler.Event{Kind: scheduler.RunTakenOver, Worker: "a", Task: former.Task, Attempt: 3, Incarnation: 1, LeaseEndsAt: e.LeaseEndsAt}))
		Expect(e.LeaseEndsAt.Sub(s.now)).To(BeNumerically(">", timing.RunLease))
		s.poll("a", []scheduler.RunReport{former})
		Expect(taken(s, scheduler.RunTakenOver)).To(BeEmpty(), "no event a poll")
	})

	It("show a listed run that is not needed", func() {
		s := newScene(worker("a"), worker("b"))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.poll("a", []scheduler.RunReport{former})
		s.poll("b", []scheduler.RunReport{former})
		e := only(taken(s, scheduler.RunNotNeeded))
		Expect(e).To(SatisfyAll(HaveField("Worker", "b"), HaveField("Incarnation", int64(1)), HaveField("Task", former.Task), HaveField("Attempt", 3)))
		Expect(e.LeaseEndsAt.Sub(s.now)).To(BeNumerically(">", timing.RunLease))
	})

	// started returns a scene in which worker a runs the task of job j, and its start.
	started := func() (*scene, scheduler.StartOrder) {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		o := only(s.startAll())
		Expect(s.pool.TakeEvents()).To(HaveLen(1), "the worker's first reply")
		return s, o
	}

	It("show a run that is given up on a silent worker, and where its task starts again", func() {
		s, o := started()
		s.poll("a", []scheduler.RunReport{runReport(o)})
		reportedAt := s.now.Add(-time.Millisecond)
		s.silent("a")
		s.setWorkers(worker("a"), worker("b"))
		s.advance(7 * time.Second)
		s.poll("b", nil)
		again := only(s.startAll())
		events := s.pool.TakeEvents()
		givenUp, startedAgain := only(ofKind(events, scheduler.RunGivenUp)), only(ofKind(events, scheduler.StartedElsewhere))
		Expect(givenUp).To(Equal(scheduler.Event{
			Kind: scheduler.RunGivenUp, Worker: "a", Task: o.Task, Attempt: o.Attempt, Incarnation: 1, Outcome: scheduler.LeaseOver,
			LeaseEndsAt: givenUp.LeaseEndsAt, OrderedAt: o.SentAt, AnsweredAt: o.SentAt, ReportedAt: reportedAt,
		}))
		Expect(givenUp.LeaseEndsAt).To(BeTemporally("<", s.now))
		Expect(startedAgain).To(Equal(scheduler.Event{
			Kind: scheduler.StartedElsewhere, Worker: "b", Task: o.Task, Attempt: again.Attempt, Incarnation: 1,
			Former: scheduler.FormerRun{Worker: "a", Incarnation: 1, Attempt: o.Attempt, Outcome: scheduler.LeaseOver},
		}))
	})

	It("show a start that was never answered, when its run is given up", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		o := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
		s.silent("a")
		s.advance(7 * time.Second)
		s.plan()
		e := only(taken(s, scheduler.RunGivenUp))
		Expect(e.AnsweredAt.IsZero()).To(BeTrue())
		Expect(e.ReportedAt.IsZero()).To(BeTrue())
		Expect(e.OrderedAt).To(Equal(o.SentAt))
	})

	It("show a run whose start was refused for an end that the worker does not list", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.Outdated, s.clock, s.now)
		s.advance(time.Millisecond)
		s.poll("a", nil)
		Expect(only(taken(s, scheduler.RunGivenUp)).Outcome).To(Equal(scheduler.EndNotListed))
	})

	It("show a run that a later incarnation does not list, and a start on that incarnation", func() {
		s, o := started()
		s.poll("a", []scheduler.RunReport{runReport(o)})
		s.advance(time.Second)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45})
		s.restartedAs("a", 2)
		Expect(s.startAll()).To(HaveLen(1))
		events := s.pool.TakeEvents()
		Expect(events).To(HaveLen(3))
		Expect(events[0]).To(SatisfyAll(HaveField("Kind", scheduler.NewIncarnationAnswered), HaveField("FormerIncarnation", int64(1)), HaveField("Incarnation", int64(2))))
		Expect(events[1]).To(SatisfyAll(HaveField("Kind", scheduler.RunGivenUp), HaveField("Outcome", scheduler.NotListed), HaveField("Incarnation", int64(1))))
		Expect(events[2]).To(SatisfyAll(HaveField("Kind", scheduler.StartedElsewhere), HaveField("Worker", "a"), HaveField("Incarnation", int64(2)),
			HaveField("Former", scheduler.FormerRun{Worker: "a", Incarnation: 1, Attempt: o.Attempt, Outcome: scheduler.NotListed})))
	})

	It("show a run whose incarnation is over, and the listed incarnation", func() {
		s, o := started()
		_, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		s.pool.PollFailed("a", scheduler.OtherIncarnation, s.now)
		e := only(taken(s, scheduler.RunGivenUp))
		Expect(e).To(SatisfyAll(HaveField("Task", o.Task), HaveField("Outcome", scheduler.IncarnationOver)))
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next)
		Expect(only(taken(s, scheduler.NewIncarnationListed))).To(SatisfyAll(HaveField("FormerIncarnation", int64(1)), HaveField("Incarnation", int64(2))))
	})

	It("show the reported end before a start elsewhere, and nothing for a start on the same incarnation", func() {
		s, o := started()
		s.poll("a", nil, endReport(o, scheduler.EndStopped))
		Expect(only(s.startAll()).Worker).To(Equal("a"))
		Expect(s.pool.TakeEvents()).To(BeEmpty())
		s.poll("a", nil, scheduler.EndReport{Task: o.Task, Attempt: o.Attempt + 1, Kind: scheduler.EndFailed})
		s.setWorkers(worker("b"))
		s.poll("b", nil)
		s.advance(time.Second)
		Expect(s.startAll()).To(HaveLen(1))
		Expect(only(taken(s, scheduler.StartedElsewhere)).Former).To(Equal(scheduler.FormerRun{Worker: "a", Incarnation: 1, Attempt: o.Attempt + 1, Outcome: "failed"}))
	})

	It("show a worker of a former owner whose leases are over before it answers", func() {
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "gone"}, {ID: "idle", Down: true}}}, s.now)
		end := s.now.Add(timing.FormerOwnerLease)
		s.advance(10 * time.Second)
		s.plan()
		e := only(taken(s, scheduler.FormerRunsGivenUp))
		Expect(e).To(SatisfyAll(HaveField("Worker", "gone"), HaveField("Outcome", scheduler.LeaseOver)))
		Expect(e.LeaseEndsAt).To(BeTemporally(">", end.Add(timing.RunLease)))
	})

	It("are bounded and counted, and leave room for other events", func() {
		const runs, bound = 3000, 2048
		s := newScene(worker("a"))
		s.addSaved(batchJob("j", runs), token-1, scheduler.Progress{})
		s.pool.TakeEvents()
		var reports []scheduler.RunReport
		for i := range runs {
			reports = append(reports, scheduler.RunReport{Task: scheduler.TaskID{Job: "j", Index: i}, Attempt: 1, Percent: 100})
		}
		s.poll("a", append(reports, scheduler.RunReport{Task: scheduler.TaskID{Job: "unknown"}, Attempt: 1}))
		events := s.pool.TakeEvents()
		Expect(events).To(HaveLen(bound + 1))
		Expect(events[bound].Kind).To(Equal(scheduler.UnknownRun))
		Expect(s.pool.Counts().Untold).To(Equal(int64(runs - bound + 1)))
	})
})
