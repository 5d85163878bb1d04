package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a poll that acknowledges ends and reaches the worker's next incarnation", func() {
	// The next incarnation numbers its ends anew. They counted as acknowledged, so they
	// were not, and the worker listed them with each reply.
	DescribeTable("acknowledges none of the ends of that one", func(listedFirst bool) {
		s := newScene(worker("a"))
		s.add(batchJob("first", 2))
		started := s.startAll()
		s.poll("a", nil, endReport(started[0], scheduler.EndDone), endReport(started[1], scheduler.EndDone))
		s.save(201)
		s.add(batchJob("second", 1))
		next := only(s.startAll())
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeEquivalentTo(2))

		reborn := worker("a")
		reborn.Incarnation = 2
		if listedFirst {
			s.setWorkers(reborn)
		}
		end := endReport(next, scheduler.EndDone)
		end.Number = 1
		sent := s.now
		s.advance(time.Millisecond)
		reply := scheduler.PollReply{Worker: "a", SentAt: sent, ReceivedAt: s.now, AckedEnds: req.AckedEnds, Incarnation: 2, Clock: s.clock, Ends: []scheduler.EndReport{end}}
		s.pool.ApplyPoll(reply)
		s.save(202)
		again, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(again.AckedEnds).To(BeEquivalentTo(1))
	},
		Entry("which only the reply shows", false),
		Entry("which was listed meanwhile", true),
	)
})
