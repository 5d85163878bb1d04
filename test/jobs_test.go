package test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/placement"
	"persimmonbay/internal/standin/worker"
)

// urgentStart bounds the time from the submission of an urgent job to its start.
const urgentStart = 1800 * time.Millisecond

var _ = Describe("jobs", func() {
	It("run from submit to finished on workers, start once when they must not be repeated though the holder of the control lease is killed, and move off a drained worker", func() {
		f := startFleet("tags", 0, 3)
		workers := f.startWorkers(4)
		f.configure(registryAnswers)
		f.awaitPool("workers", 4)
		holder := f.controlHolder()
		operator := f.operator((holder + 1) % len(f.entries))

		moved := submitJobs(operator, 4, "-name", "move", "-millicores", "2000", "-repeatable", "-work", `{"runMillis":30000}`)
		once := submitJobs(operator, 24, "-name", "reconcile", "-millicores", "4000", "-work", `{"runMillis":5000}`)
		Eventually(func() int { return inPhase(jobsOf(operator), placement.Running) }, patience).Should(BeNumerically(">", 4))
		f.entries[holder].kill()

		drained := ""
		Eventually(func() string {
			for _, j := range jobsOf(operator) {
				if j.Name == "move" && j.Phase == placement.Running {
					drained = j.Attempt.Worker
				}
			}
			return drained
		}, patience).ShouldNot(BeEmpty())
		code, _, stderr := command("instance", "drain", "-operator", operator, "-token", testToken, drained)
		Expect(code).To(Equal(0), stderr)
		Eventually(func() string { return f.phaseOf(operator, drained) }, patience).Should(Equal("drained"))
		Expect(workerLoad(workers[drained]).Running).To(BeEmpty(), "worker drained while tasks ran on it")

		code, _, stderr = command("job", "cancel", "-operator", operator, "-token", testToken, "-name", "move", "-team", "reconciliation")
		Expect(code).To(Equal(0), stderr)
		Eventually(func() int { return ended(jobsOf(operator)) }, patience).Should(Equal(len(once) + len(moved)))
		starts := allStarts(workers)
		for _, j := range jobsOf(operator) {
			if j.Name == "reconcile" {
				Expect(j.Phase).To(Equal(placement.Finished), "%+v", j)
				Expect(starts[j.ID]).To(Equal(1), "%+v", j)
			}
		}
	})

	It("start urgent work in time by preempting background work, and refuse what can never run", func() {
		f := startFleet("tags", 0, 2)
		workers := f.startWorkers(1)
		f.configure(registryAnswers)
		f.awaitPool("workers", 1)
		operator := f.operator(0)
		code, _, stderr := command("job", "submit", "-operator", operator, "-token", testToken, "-team", "reconciliation", "-name", "large", "-memory", "140000")
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("memory: it needs 140000 MB and the largest worker has 131072 MB"))

		submitJobs(operator, 8, "-name", "fill", "-millicores", "4000", "-repeatable", "-work", `{"runMillis":600000}`)
		Eventually(func() int { return inPhase(jobsOf(operator), placement.Running) }, patience).Should(Equal(8))
		urgent := submit(operator, "inspectors", 1, "-name", "look-up", "-class", "urgent", "-millicores", "8000", "-work", `{"runMillis":1000}`)
		Eventually(func() map[string]int { return workerLoad(workers["worker-1"]).Starts }, urgentStart).Should(HaveKey(urgent[0].ID))
	})
})

// startWorkers starts stand-in workers and returns their addresses, by ID.
func (f *testFleet) startWorkers(n int) map[string]string {
	GinkgoHelper()
	addresses := map[string]string{}
	for i := range n {
		id := fmt.Sprintf("worker-%d", i+1)
		w := start("standin", "worker", "-platform", f.platformURL(), "-id", id, "-zone", zone(i), "-rack", "rack-w")
		addresses[id] = w.listening("worker")
	}
	return addresses
}

// awaitPool waits until n instances serve the pool.
func (f *testFleet) awaitPool(pool string, n int) {
	GinkgoHelper()
	Eventually(func() []string { return f.serving(f.operator(0), pool) }, patience).Should(HaveLen(n))
}

// phaseOf returns the maintenance phase of an instance, or the empty string when
// it is not listed.
func (f *testFleet) phaseOf(operator, id string) string {
	GinkgoHelper()
	for _, i := range f.instances(operator) {
		if i.ID == id {
			return string(i.Phase)
		}
	}
	return ""
}

func submitJobs(operator string, count int, flags ...string) []placement.Job {
	GinkgoHelper()
	return submit(operator, "reconciliation", count, append([]string{"-class", "background"}, flags...)...)
}

// submit submits count identical jobs and returns them.
func submit(operator, team string, count int, flags ...string) []placement.Job {
	GinkgoHelper()
	args := append([]string{"job", "submit", "-operator", operator, "-token", testToken, "-output", "json", "-team", team, "-count", fmt.Sprint(count)}, flags...)
	code, out, stderr := command(args...)
	Expect(code).To(Equal(0), stderr)
	var jobs []placement.Job
	Expect(json.Unmarshal([]byte(out), &jobs)).To(Succeed())
	Expect(jobs).To(HaveLen(count))
	return jobs
}

func jobsOf(operator string) []placement.Job {
	GinkgoHelper()
	var jobs []placement.Job
	code, out, stderr := command("job", "list", "-operator", operator, "-output", "json")
	Expect(code).To(Equal(0), stderr)
	Expect(json.Unmarshal([]byte(out), &jobs)).To(Succeed())
	return jobs
}

func inPhase(jobs []placement.Job, phase placement.Phase) int {
	n := 0
	for _, j := range jobs {
		if j.Phase == phase {
			n++
		}
	}
	return n
}

func ended(jobs []placement.Job) int {
	n := 0
	for _, j := range jobs {
		if j.Phase.Ended() {
			n++
		}
	}
	return n
}

func workerLoad(address string) worker.Load {
	GinkgoHelper()
	var load worker.Load
	getJSON("http://"+address+"/standin/load", &load)
	return load
}

// allStarts returns how often each job was started, over all workers.
func allStarts(workers map[string]string) map[string]int {
	GinkgoHelper()
	starts := map[string]int{}
	for _, address := range workers {
		for job, n := range workerLoad(address).Starts {
			starts[job] += n
		}
	}
	return starts
}
