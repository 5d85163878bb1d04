package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("an entry of the list of workers to which no worker answers", func() {
	// Incident 20: an entry that named a worker's machine and a later incarnation made
	// the owner take the worker as lost, and its tasks ran twice.
	It("does not end the worker on the same machine", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.startAll()
		wrong := worker("spoilt")
		wrong.Machine, wrong.Incarnation = "m-a", 2
		s.setWorkers(worker("a"), wrong, worker("c"))
		s.poll("c", nil)
		Expect(s.startAll()).To(BeEmpty())
	})
})

var _ = Describe("a list of machines that is older than the worker", func() {
	// Incident 20: a worker that had started after the list was read was taken as lost
	// while its tasks ran on.
	It("does not end the worker", func() {
		s := newScene(worker("b"))
		requestedAt := s.now
		s.advance(time.Millisecond)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("a", nil)
		s.add(batchJob("j", 1))
		Expect(only(s.startAll()).Worker).To(Equal("a"))
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b"}, requestedAt, s.now)
		Expect(s.startAll()).To(BeEmpty())
		s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b"}, s.now, s.now)
		Expect(only(s.startAll()).Worker).To(Equal("b"))
	})

	// Incident 20, overlap simulation, seed 700039: the list was requested while a
	// worker was down, and arrived after its next incarnation had accepted a task.
	It("does not end the next incarnation of a worker that has answered since", func() {
		s := newScene(worker("a"))
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.advance(time.Second)
		requestedAt := s.now
		s.advance(time.Millisecond)
		s.add(batchJob("j", 1))
		started := only(s.plan().Starts)
		s.pool.StartAnswered(started, scheduler.Accepted, 5, s.now)
		s.pool.PollFailed(started.Worker, scheduler.NoResponse, s.now)
		s.pool.SetMachineWorkers(map[string]string{"m-" + started.Worker: ""}, requestedAt, s.now)
		Expect(s.startAll()).To(BeEmpty())
	})
})
