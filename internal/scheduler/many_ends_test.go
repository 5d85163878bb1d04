package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review case 6 (TWICE): a worker lists 500 ends in a reply. An owner that took the first
// reply for all that the worker had to report started tasks again whose ends stood in the
// replies to come.
var _ = Describe("a worker that has more ends of a former owner to list than one reply holds", func() {
	const listed = 500
	var s *scene
	BeforeEach(func() {
		s = newScene()
		s.setWorkers(worker("a"))
	})

	// page applies a reply of worker a's incarnation that lists the ends of the given kind of
	// the tasks with index from to until, in that order.
	page := func(incarnation int64, kind scheduler.EndKind, from, until int) {
		GinkgoHelper()
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		reply := scheduler.PollReply{Worker: "a", SentAt: s.now, AckedEnds: req.AckedEnds, Incarnation: incarnation, Clock: s.clock, Partial: until-from == listed}
		for i := from; i < until; i++ {
			reply.Ends = append(reply.Ends, scheduler.EndReport{Number: int64(i + 1), Task: scheduler.TaskID{Job: "j", Index: i}, Attempt: 1, Kind: kind})
		}
		s.advance(time.Millisecond)
		reply.ReceivedAt = s.now
		s.pool.ApplyPoll(reply)
	}

	It("has no task started again whose end stands in a later reply", func() {
		s.addSaved(batchJob("j", listed+100), token-1, scheduler.Progress{})
		page(1, scheduler.EndDone, 0, listed)
		Expect(s.plan().Starts).To(BeEmpty())
		s.save(201)
		page(1, scheduler.EndDone, listed, listed+100)
		Expect(s.plan().Starts).To(BeEmpty())
		Expect(s.save(202)["j"].Progress.State).To(Equal(scheduler.Completed))
	})

	It("has no task started beyond its budget whose last failed end stands in a later reply", func() {
		sub := batchJob("j", listed+1)
		sub.MaxFailures = 1
		s.addSaved(sub, token-1, scheduler.Progress{})
		page(1, scheduler.EndDone, 0, listed)
		Expect(s.plan().Starts).To(BeEmpty())
		s.save(201)
		page(1, scheduler.EndFailed, listed, listed+1)
		Expect(s.plan().Starts).To(BeEmpty())
		Expect(s.save(202)["j"].Progress.State).To(Equal(scheduler.Failed))
	})

	It("has the other tasks started once a reply lists fewer ends, also if it lists none", func() {
		s.addSaved(batchJob("j", listed+1), token-1, scheduler.Progress{})
		page(1, scheduler.EndDone, 0, listed)
		Expect(s.plan().Starts).To(BeEmpty())
		s.save(201)
		page(1, scheduler.EndDone, listed, listed)
		Expect(only(s.startAll()).Task.Index).To(Equal(listed))
	})

	It("has tasks that no former owner started started at once", func() {
		s.addSaved(batchJob("j", listed+1), token-1, scheduler.Progress{})
		page(1, scheduler.EndDone, 0, listed)
		s.add(batchJob("new", 1))
		Expect(only(s.startAll()).Task.Job).To(Equal("new"))
	})

	It("keeps its tasks from other workers until the leases that were extended between two replies have expired", func() {
		s.setWorkers(worker("a"), worker("b"))
		s.addSaved(batchJob("j", listed+1), token-1, scheduler.Progress{})
		s.poll("b", nil)
		page(1, scheduler.EndDone, 0, listed)
		s.save(201)
		s.advance(6 * time.Second) // past the leases of the former owner
		page(1, scheduler.EndDone, 0, listed)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.Deadline).NotTo(BeZero())
		s.silent("a")
		s.advance(timing.RunLease)
		s.silent("a")
		s.poll("b", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(time.Second)
		s.poll("b", nil)
		Expect(only(s.startAll()).Task.Index).To(Equal(listed))
	})

	It("is not named as down in the roster, which would leave the tasks out", func() {
		s.addSaved(batchJob("j", listed+1), token-1, scheduler.Progress{})
		s.plan()
		page(1, scheduler.EndDone, 0, listed)
		s.plan()
		s.silent("a")
		s.plan()
		roster := s.pool.Roster(s.now)
		Expect(only(roster.Workers).Down).To(BeFalse())
	})

	It("keeps its machine from being reported as empty", func() {
		s.addSaved(batchJob("j", listed+1), token-1, scheduler.Progress{})
		page(1, scheduler.EndDone, 0, listed)
		s.save(201)
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now.Add(time.Second)}, nil)
		s.plan()
		Expect(s.pool.ClaimEmpty("m-a", "a")).To(BeFalse())
		page(1, scheduler.EndDone, listed, listed)
		s.plan()
		Expect(s.pool.ClaimEmpty("m-a", "a")).To(BeTrue())
	})

	It("counts as awaited again when a later incarnation answers in part", func() {
		s.addSaved(batchJob("j", listed+1), token-1, scheduler.Progress{})
		page(1, scheduler.EndStopped, 0, 0)
		s.advance(time.Second)
		s.plan() // polls idle workers again while a former owner may send orders
		page(2, scheduler.EndDone, 0, listed)
		Expect(s.plan().Starts).To(BeEmpty())
		s.save(201)
		page(2, scheduler.EndDone, listed, listed+1)
		Expect(s.plan().Starts).To(BeEmpty())
		Expect(s.save(202)["j"].Progress.State).To(Equal(scheduler.Completed))
	})
})
