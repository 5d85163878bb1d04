package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/platform/api"
	standin "persimmonbay/internal/standin/platform"
	"persimmonbay/internal/standin/upstream"
)

// Load of the callers in these specs.
const (
	ledgerSeed          = 4
	ledgerCallersAtOnce = 16
	wordsAPhase         = 100
)

var _ = Describe("the ledger", func() {
	It("runs each key at most once while entries are killed and stopped and answers of the store are lost", func() {
		f := startFleet("transfers", 2, 3)
		f.configure(registryAnswers)
		callers := &ledgerCallers{entries: []string{f.callers(0), f.callers(1), f.callers(2)}}
		for _, entry := range callers.entries {
			Eventually(func() string { return callers.send(entry, newKey()).outcome }, patience).Should(Equal("completed"))
		}
		stop := make(chan struct{})
		group := callers.run(ledgerSeed, ledgerCallersAtOnce, stop)
		more := func(outcome string) {
			GinkgoHelper()
			n := callers.told(outcome)
			Eventually(func() int { return callers.told(outcome) - n }, patience).Should(BeNumerically(">", wordsAPhase))
		}
		more("completed")

		f.platformFaults(standin.Faults{LoseAnswers: 0.2, Seed: ledgerSeed})
		more("completed")
		f.signal(1, syscall.SIGSTOP)
		Eventually(f.registered, patience).ShouldNot(ContainElement(HaveSuffix("/entry-2")))
		more("completed")
		f.signal(1, syscall.SIGCONT)
		Eventually(f.registered, patience).Should(ContainElement(HaveSuffix("/entry-2")))
		more("completed")
		f.signal(2, syscall.SIGKILL)
		more("completed")
		instances := f.listedInstances()
		for _, i := range instances {
			f.standin(http.MethodDelete, "/standin/instances/"+i.ID, nil)
		}
		more("not-run")
		for _, i := range instances {
			f.standin(http.MethodPut, "/standin/instances/"+i.ID, i)
		}
		more("completed")
		close(stop)
		group.Wait()

		executions := f.executions()
		outcomes := map[string]int{}
		answers := map[string]string{}
		for _, w := range callers.all() {
			outcomes[w.outcome]++
			if w.outcome == "not-run" {
				Expect(executions[w.key]).To(BeZero(), "%s ran", w.key)
			}
			if w.outcome == "completed" {
				Expect(executions[w.key]).To(Equal(1), w.key)
				Expect(answers).To(Or(Not(HaveKey(w.key)), HaveKeyWithValue(w.key, w.body)))
				answers[w.key] = w.body
			}
		}
		for key, n := range executions {
			Expect(n).To(Equal(1), key)
		}
		fmt.Fprintf(GinkgoWriter, "%d keys ran, words: %v\n", len(executions), outcomes)
	})

	It("answers repeats, other bodies and bad keys, and shows what it knows", func() {
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

		code, out, stderr := command("request", "show", "-operator", f.operator(1), "-output", "json", key)
		Expect(code).To(Equal(0), stderr)
		var entry message.LedgerEntry
		Expect(json.Unmarshal([]byte(out), &entry)).To(Succeed())
		Expect(entry.State).To(Equal("finished"))
		Expect(entry.Status).To(Equal(http.StatusOK))
	})

	It("tells in-doubt requests from all others, and says unknown while the store is down", func() {
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

func newKey() string {
	GinkgoHelper()
	key, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	return key.String()
}

// post sends a keyed transfer through one entry.
func (f *testFleet) post(entry int, key, body string) (int, http.Header) {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPost, f.callers(entry)+"/transfers/transfers", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Persimmonbay-Team", "herders")
	request.Header.Set("Persimmonbay-Timeout", "2000")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

func (f *testFleet) signal(entry int, signal syscall.Signal) {
	GinkgoHelper()
	Expect(f.entries[entry].session.Command.Process.Signal(signal)).To(Succeed())
}

func (f *testFleet) platformFaults(faults standin.Faults) {
	GinkgoHelper()
	f.standin(http.MethodPut, "/standin/faults", faults)
}

func (f *testFleet) upstreamFaults(i int, faults upstream.Faults) {
	GinkgoHelper()
	change(http.MethodPut, "http://"+f.upstreams[i].listening("upstream")+"/standin/faults", faults)
}

// standin throws a switch of the stand-in platform.
func (f *testFleet) standin(method, path string, body any) {
	GinkgoHelper()
	change(method, f.platformURL()+path, body)
}

func change(method, url string, body any) {
	GinkgoHelper()
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// registered returns the keys under which entries are registered.
func (f *testFleet) registered() []string {
	var listing api.Listing
	fetch(f.platformURL()+"/v1/kv?prefix=persimmonbay/entries/", &listing)
	var keys []string
	for _, item := range listing.Items {
		keys = append(keys, item.Key)
	}
	return keys
}

func (f *testFleet) listedInstances() []fleet.Instance {
	var instances []fleet.Instance
	fetch(f.platformURL()+"/v1/instances", &instances)
	return instances
}

// executions returns how often each key ran on all upstreams together.
func (f *testFleet) executions() map[string]int {
	counts := map[string]int{}
	for _, u := range f.upstreams {
		var executions []upstream.Execution
		fetch("http://"+u.listening("upstream")+"/standin/executions", &executions)
		for _, e := range executions {
			counts[e.Key] += e.Count
		}
	}
	return counts
}

func fetch(url string, out any) {
	GinkgoHelper()
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(json.NewDecoder(response.Body).Decode(out)).To(Succeed())
}
