package test

import (
	"bytes"
	"encoding/json"
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

// show returns the ledger entry of key that "request show" prints.
func (f *testFleet) show(entry int, key string) message.LedgerEntry {
	GinkgoHelper()
	code, out, stderr := command("request", "show", "-operator", f.operator(entry), "-output", "json", key)
	Expect(code).To(Equal(0), stderr)
	var shown message.LedgerEntry
	Expect(json.Unmarshal([]byte(out), &shown)).To(Succeed())
	return shown
}

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
	f.changePlatform(http.MethodPut, "/standin/faults", faults)
}

func (f *testFleet) upstreamFaults(i int, faults upstream.Faults) {
	GinkgoHelper()
	change(http.MethodPut, "http://"+f.upstreams[i].listening("upstream")+"/standin/faults", faults)
}

// changePlatform sends body to a control endpoint of the stand-in platform.
func (f *testFleet) changePlatform(method, path string, body any) {
	GinkgoHelper()
	change(method, f.platformURL()+path, body)
}

// change sends body as JSON and expects status 200.
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

// registered returns the store keys of the registered entries.
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

// executions returns the number of executions by key, over all upstreams.
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
