package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("an entry of the list of workers that no worker answers for", func() {
	// inc-20: an entry that names a worker's machine with a later start had the
	// worker given up, and its tasks ran twice.
	It("does not end the worker on the same machine", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.startAll()
		spoilt := worker("spoilt")
		spoilt.Machine, spoilt.Incarnation = "m-a", 2
		s.setWorkers(worker("a"), spoilt, worker("c"))
		s.poll("c", nil)
		Expect(s.startAll()).To(BeEmpty())
	})
})

var _ = Describe("a list of machines that is older than a worker", func() {
	// inc-20: a worker that had begun since was given up for dead while it ran on.
	It("does not end the worker", func() {
		s := newScene(worker("b"))
		asked := s.now
		s.pass(time.Millisecond)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("a", nil)
		s.add(tasks("j", 1))
		Expect(only(s.startAll()).Worker).To(Equal("a"))
		s.pool.PollFailed("a", scheduler.Unanswered, s.now)
		s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b"}, asked, s.now)
		Expect(s.startAll()).To(BeEmpty())
		s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b"}, s.now, s.now)
		Expect(only(s.startAll()).Worker).To(Equal("b"))
	})

	// inc-20, overlap simulation, seed 700039: the list was asked for while a worker
	// was down, and arrived after its next incarnation had taken a task.
	It("does not end the next life of a worker that has answered since", func() {
		s := newScene(worker("a"))
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.pass(time.Second)
		asked := s.now
		s.pass(time.Millisecond)
		s.add(tasks("j", 1))
		started := only(s.plan().Starts)
		s.pool.StartAnswered(started, scheduler.Accepted, 5, s.now)
		s.pool.PollFailed(started.Worker, scheduler.Unanswered, s.now)
		s.pool.SetMachineWorkers(map[string]string{"m-" + started.Worker: ""}, asked, s.now)
		Expect(s.startAll()).To(BeEmpty())
	})
})
