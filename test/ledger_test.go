package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/operator/message"
	standin "persimmonbay/internal/standin/platform"
	"persimmonbay/internal/standin/upstream"
)

// Load of the callers in these specs.
const (
	ledgerSeed        = 4
	concurrentCallers = 16
	responsesPerPhase = 100
)

var _ = Describe("the ledger", func() {
	It("runs each key at most once while entries are killed and suspended and responses of the store are lost", func() {
		f := startFleet("transfers", 2, 3)
		f.configure(registryAnswers)
		callers := &ledgerCallers{entries: []string{f.callers(0), f.callers(1), f.callers(2)}}
		for _, entry := range callers.entries {
			Eventually(func() string { return callers.send(entry, newKey()).outcome }, patience).Should(Equal("completed"))
		}
		stop := make(chan struct{})
		group := callers.run(ledgerSeed, concurrentCallers, stop)
		awaitMore := func(outcome string) {
			GinkgoHelper()
			n := callers.count(outcome)
			Eventually(func() int { return callers.count(outcome) - n }, patience).Should(BeNumerically(">", responsesPerPhase))
		}
		awaitMore("completed")

		f.platformFaults(standin.Faults{LoseResponses: 0.2, Seed: ledgerSeed})
		awaitMore("completed")
		f.signal(1, syscall.SIGSTOP)
		Eventually(f.registered, patience).ShouldNot(ContainElement(HaveSuffix("/entry-2")))
		awaitMore("completed")
		f.signal(1, syscall.SIGCONT)
		Eventually(f.registered, patience).Should(ContainElement(HaveSuffix("/entry-2")))
		awaitMore("completed")
		f.signal(2, syscall.SIGKILL)
		awaitMore("completed")
		instances := f.listedInstances()
		for _, i := range instances {
			f.changePlatform(http.MethodDelete, "/standin/instances/"+i.ID, nil)
		}
		awaitMore("not-run")
		for _, i := range instances {
			f.changePlatform(http.MethodPut, "/standin/instances/"+i.ID, i)
		}
		awaitMore("completed")
		close(stop)
		group.Wait()

		executions := f.executions()
		outcomes := map[string]int{}
		answers := map[string]string{}
		for _, r := range callers.all() {
			outcomes[r.outcome]++
			if r.outcome == "not-run" {
				Expect(executions[r.key]).To(BeZero(), "%s ran", r.key)
			}
			if r.outcome == "completed" {
				Expect(executions[r.key]).To(Equal(1), r.key)
				Expect(answers).To(Or(Not(HaveKey(r.key)), HaveKeyWithValue(r.key, r.body)))
				answers[r.key] = r.body
			}
		}
		for key, n := range executions {
			Expect(n).To(Equal(1), key)
		}
		fmt.Fprintf(GinkgoWriter, "%d keys ran, responses by outcome: %v\n", len(executions), outcomes)
	})

	It("returns the first answer of up to 1 MiB to a repeated request after its entry was killed and responses of the store were lost", func() {
		f := startFleet("transfers", 1, 3)
		f.configure(registryAnswers)
		callers := &ledgerCallers{}
		for i := range f.entries {
			Eventually(func() string { return callers.send(f.callers(i), newKey()).outcome }, patience).Should(Equal("completed"))
		}
		f.platformFaults(standin.Faults{LoseResponses: 0.3, Seed: ledgerSeed})
		var first []ledgerResponse
		for _, padding := range []int{5 << 10, 300 << 10, 1<<20 - 1<<10} {
			f.upstreamFaults(0, upstream.Faults{BodyBytes: padding})
			var received ledgerResponse
			Eventually(func() string {
				received = callers.send(f.callers(0), newKey())
				return received.outcome
			}, patience).Should(Equal("completed"))
			first = append(first, received)
		}
		for _, r := range first {
			Eventually(func() string { return f.show(1, r.key).State }, patience).Should(Equal("finished"))
		}
		f.signal(0, syscall.SIGKILL)
		for _, r := range first {
			for _, entry := range []int{1, 2} {
				again := callers.send(f.callers(entry), r.key)
				Expect(again.outcome).To(Equal("completed"))
				Expect(again.body == r.body).To(BeTrue(), "%d bytes, not the %d of the first answer", len(again.body), len(r.body))
			}
			Expect(f.executions()[r.key]).To(Equal(1))
		}
	})

	It("answers repeated requests, different bodies and invalid keys, and shows its record of a key", func() {
		f := startFleet("transfers", 1, 2)
		f.configure(registryAnswers)
		key := newKey()
		Eventually(func() int {
			status, _ := f.post(0, newKey(), "probe")
			return status
		}, patience).Should(Equal(http.StatusOK))
		status, header := f.post(0, key, "one flock")
		Expect(status).To(Equal(http.StatusOK))
		Expect(header.Get("Persimmonbay-Replayed")).To(BeEmpty())
		Eventually(func() string {
			_, header = f.post(1, key, "one flock")
			return header.Get("Persimmonbay-Replayed")
		}, patience).Should(Equal("true"))
		status, header = f.post(1, key, "two flocks")
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(header.Get("Persimmonbay-Outcome")).To(Equal("unknown"))
		status, header = f.post(0, "not-a-key", "one flock")
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(header.Get("Persimmonbay-Outcome")).To(Equal("not-run"))
		status, header = f.post(0, uuid.NewString(), "one flock")
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(header.Get("Persimmonbay-Outcome")).To(Equal("not-run"))
		status, header = f.post(0, "018f0000-0000-7000-8000-000000000000", "one flock")
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(header.Get("Persimmonbay-Outcome")).To(Equal("unknown"))

		entry := f.show(1, key)
		Expect(entry.State).To(Equal("finished"))
		Expect(entry.Status).To(Equal(http.StatusOK))
	})

	It("lists in-doubt requests alone, and answers unknown while the store is down", func() {
		f := startFleet("transfers", 1, 2)
		f.configure(registryAnswers)
		Eventually(func() int {
			status, _ := f.post(0, newKey(), "probe")
			return status
		}, patience).Should(Equal(http.StatusOK))
		f.upstreamFaults(0, upstream.Faults{DieMidBody: true})
		key := newKey()
		status, header := f.post(0, key, "one flock")
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(header.Get("Persimmonbay-Outcome")).To(Equal("unknown"))
		f.upstreamFaults(0, upstream.Faults{})
		Eventually(func(g Gomega) {
			code, out, stderr := command("request", "in-doubt", "-operator", f.operator(1), "-output", "json")
			g.Expect(code).To(Equal(0), stderr)
			var entries []message.LedgerEntry
			g.Expect(json.Unmarshal([]byte(out), &entries)).To(Succeed())
			g.Expect(entries).To(HaveLen(1))
			g.Expect(entries[0].Key).To(Equal(key))
		}, patience).Should(Succeed())
		_, header = f.post(1, key, "one flock")
		Expect(header.Get("Persimmonbay-Outcome")).To(Equal("unknown"))
		Expect(f.executions()[key]).To(Equal(1))

		f.platformFaults(standin.Faults{Outage: true})
		key = newKey()
		status, header = f.post(0, key, "one flock")
		Expect(status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(header.Get("Persimmonbay-Outcome")).To(Equal("unknown"))
		f.platformFaults(standin.Faults{})
		Expect(f.executions()).NotTo(HaveKey(key))
	})
})
