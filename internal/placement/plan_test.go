package placement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/placement"
)

var _ = Describe("a plan", func() {
	It("starts urgent jobs first, and leaves jobs that fit nowhere in the queue", func() {
		d := plan(snapshot(workers(1, cores(8)), job("a", "t", fleet.Background, cores(6)), job("b", "t", fleet.Urgent, cores(6))))
		Expect(d.Starts).To(Equal([]placement.Start{{Job: "b", Worker: "w-000"}}))
		Expect(d.Preemptions).To(BeEmpty())
	})

	It("keeps accelerators for jobs that need them", func() {
		accelerated := worker("w-acc", fleet.Resources{MilliCores: 32000, MemoryMB: 65536, Accelerators: 4})
		plain := worker("w-plain", cores(64))
		needy := job("needy", "t", fleet.Normal, cores(2))
		needy.Size.Accelerators = 2
		s := snapshot([]placement.Worker{accelerated, plain}, job("modest", "t", fleet.Normal, cores(2)), needy)
		s.Teams["t"] = placement.Team{Quota: fleet.Resources{MilliCores: 1e6, MemoryMB: 1e6, Accelerators: 8}, TopClass: fleet.Urgent}
		Expect(plan(s).Starts).To(ConsistOf(placement.Start{Job: "modest", Worker: "w-plain"}, placement.Start{Job: "needy", Worker: "w-acc"}))
	})

	It("limits each team to its quota and starts the next job of the team with the smallest used share", func() {
		var jobs []placement.Job
		for i := range 10 {
			jobs = append(jobs, job(fmt.Sprintf("big-%d", i), "big", fleet.Normal, cores(2)), job(fmt.Sprintf("small-%d", i), "small", fleet.Normal, cores(2)))
		}
		s := snapshot(workers(1, cores(16)), jobs...)
		s.Teams["big"], s.Teams["small"] = placement.Team{Quota: cores(100)}, placement.Team{Quota: cores(4)}
		started := map[string]int{}
		for _, start := range plan(s).Starts {
			started[start.Job[:3]]++
		}
		Expect(started).To(Equal(map[string]int{"big": 7, "sma": 1}))
		s.Workers = workers(10, cores(16))
		started = map[string]int{}
		for _, start := range plan(s).Starts {
			started[start.Job[:3]]++
		}
		Expect(started).To(Equal(map[string]int{"big": 10, "sma": 2}))
	})

	It("preempts for urgent jobs by checkpoint, and by throttling jobs that are not repeatable", func() {
		repeatable, notRepeatable := runningOn(job("r", "t", fleet.Background, cores(8)), "w-000"), runningOn(job("o", "t", fleet.Background, cores(8)), "w-000")
		notRepeatable.Repeatable = false
		urgent := job("u", "t", fleet.Urgent, cores(6))
		d := plan(snapshot(workers(1, cores(8)), repeatable, urgent))
		Expect(d.Preemptions).To(HaveLen(1))
		Expect(d.Preemptions[0].Method).To(Equal(placement.Checkpoint))
		Expect(d.Starts).To(BeEmpty(), "the preempted task still runs")
		urgent.Size.MemoryMB = 512
		notRepeatable.Size.MemoryMB = 1024
		d = plan(snapshot(workers(1, cores(8)), notRepeatable, urgent))
		Expect(d.Preemptions).To(HaveLen(1))
		Expect(d.Preemptions[0].Method).To(Equal(placement.Throttle))
	})

	It("preempts no further task for a job that fits once a leaving task has left, and reserves that capacity for it", func() {
		leaving, _ := runningOn(job("l", "t", fleet.Background, cores(8)), "w-000").Preempt(placement.Preemption{Method: placement.Checkpoint}, now)
		other := runningOn(job("o", "t", fleet.Background, cores(8)), "w-001")
		s := snapshot(workers(2, cores(10)), leaving, other, job("u", "t", fleet.Urgent, cores(9)), job("n", "t", fleet.Background, cores(2)))
		d := plan(s)
		Expect(d.Preemptions).To(BeEmpty())
		Expect(d.Starts).To(Equal([]placement.Start{{Job: "n", Worker: "w-001"}}))
	})

	It("accounts for reported usage above and below the declared size", func() {
		greedy := runningOn(job("g", "t", fleet.Normal, cores(2)), "w-000")
		s := snapshot(workers(1, cores(8)), greedy, job("n", "t", fleet.Normal, cores(4)))
		s.Usage[greedy.Attempt.Task] = placement.Usage{ReportedAt: now, Ran: time.Second, Peak: cores(6)}
		Expect(plan(s).Starts).To(BeEmpty())
		modest := runningOn(job("m", "t", fleet.Normal, cores(8)), "w-000")
		s = snapshot(workers(1, cores(8)), modest, job("n", "t", fleet.Normal, cores(4)))
		s.Usage[modest.Attempt.Task] = placement.Usage{ReportedAt: now, Ran: 30 * time.Second, Peak: cores(2)}
		Expect(plan(s).Starts).To(BeEmpty(), "it has not run for SettleAfter yet")
		s.Usage[modest.Attempt.Task] = placement.Usage{ReportedAt: now, Ran: 2 * time.Minute, Peak: cores(2)}
		Expect(plan(s).Starts).To(HaveLen(1))
	})

	It("preempts a task when usage exceeds a worker or a quota", func() {
		a, b := runningOn(job("a", "t", fleet.Background, cores(4)), "w-000"), runningOn(job("b", "t", fleet.Normal, cores(4)), "w-000")
		s := snapshot(workers(1, cores(8)), a, b)
		s.Usage[b.Attempt.Task] = placement.Usage{ReportedAt: now, Peak: cores(5)}
		d := plan(s)
		Expect(d.Preemptions).To(HaveLen(1))
		Expect(d.Preemptions[0].Job).To(Equal("a"))
		s.Workers[0].Size = cores(16)
		Expect(plan(s).Preemptions).To(BeEmpty())
		s.Teams["t"] = placement.Team{Quota: cores(8), TopClass: fleet.Urgent}
		Expect(plan(s).Preemptions).To(HaveLen(1))
	})

	It("ranks a job whose deadline is near above urgent ones", func() {
		due := job("d", "t", fleet.Normal, cores(8))
		due.RunTime, due.Deadline = 10*time.Minute, now.Add(20*time.Minute)
		running := runningOn(job("u", "t", fleet.Urgent, cores(8)), "w-000")
		d := plan(snapshot(workers(1, cores(8)), running, due, job("v", "t", fleet.Urgent, cores(8))))
		Expect(d.Preemptions).To(HaveLen(1))
		Expect(d.Preemptions[0].Job).To(Equal("u"))
		due.Deadline = now.Add(time.Hour)
		Expect(plan(snapshot(workers(1, cores(8)), running, due)).Preemptions).To(BeEmpty())
	})

	It("moves repeatable jobs off a drained worker, and starts none there", func() {
		moved, notRepeatable := runningOn(job("m", "t", fleet.Normal, cores(1)), "w-000"), runningOn(job("o", "t", fleet.Normal, cores(1)), "w-000")
		notRepeatable.Repeatable = false
		s := snapshot(workers(2, cores(8)), moved, notRepeatable, job("q", "t", fleet.Normal, cores(1)))
		s.Workers[0].Draining = true
		d := plan(s)
		Expect(d.Preemptions).To(HaveLen(1))
		Expect(d.Preemptions[0].Job).To(Equal("m"))
		Expect(d.Starts).To(Equal([]placement.Start{{Job: "q", Worker: "w-001"}}))
	})
})

var _ = Describe("failures", func() {
	failedOn := func(id, name string, workers ...string) placement.Job {
		j := job(id, "t", fleet.Normal, cores(1))
		j.Name = name
		for _, w := range workers {
			j.Failures = append(j.Failures, placement.Failure{Worker: w, At: now.Add(-time.Minute)})
		}
		return j
	}
	finishedOn := func(id, name, worker string) placement.Job {
		j := runningOn(job(id, "t", fleet.Normal, cores(1)), worker)
		j.Name, j.Phase, j.Since = name, placement.Finished, now.Add(-2*time.Minute)
		return j
	}

	It("quarantine a worker that fails jobs that succeed elsewhere, until the evidence window has passed", func() {
		s := snapshot(workers(2, cores(8)), finishedOn("f", "k", "w-001"), failedOn("a", "k", "w-000"), failedOn("b", "k", "w-000"), failedOn("c", "k", "w-000"))
		d := plan(s)
		Expect(d.Quarantined).To(Equal([]string{"w-000"}))
		for _, start := range d.Starts {
			Expect(start.Worker).To(Equal("w-001"))
		}
		s.Now = now.Add(time.Hour)
		Expect(plan(s).Quarantined).To(BeEmpty())
	})

	It("of jobs that fail everywhere quarantine no worker and end the job", func() {
		s := snapshot(workers(4, cores(8)), finishedOn("f0", "good", "w-000"), finishedOn("f1", "good", "w-001"), finishedOn("f2", "good", "w-002"),
			failedOn("a", "bad-a", "w-000", "w-001", "w-002"), failedOn("b", "bad-b", "w-000", "w-001", "w-002"), failedOn("c", "bad-c", "w-000", "w-001", "w-002"))
		d := plan(s)
		Expect(d.Quarantined).To(BeEmpty())
		Expect(d.GivenUp).To(HaveLen(3))
	})

	It("exclude the worker for the same job", func() {
		d := plan(snapshot(workers(2, cores(8)), failedOn("a", "k", "w-000")))
		Expect(d.Starts).To(Equal([]placement.Start{{Job: "a", Worker: "w-001"}}))
	})
})
