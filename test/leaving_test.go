package test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/load"
	"persimmonbay/internal/standin/upstream"
)

// Load on each entry while an upstream leaves: 3 s, after which the upstream
// must receive no new work.
const (
	leavingRate     = 100 // requests per second
	leavingRequests = 3 * leavingRate
)

var _ = Describe("a leaving upstream", func() {
	var f *testFleet

	BeforeEach(func() {
		f = startFleet("tags", 3, 3)
		f.configure(registryAnswers)
		for i := range f.entries {
			Eventually(func() string { return get(f.callers(i) + "/tags/1").outcome }, patience).Should(Equal("completed"))
		}
		f.offer(0, 1, 2)
		Expect(f.load(0).Requests).NotTo(BeZero())
	})

	It("gets no new work after 3 s when the platform lists it as leaving", func() {
		leaving := f.instance(0)
		leaving.State = fleet.Leaving
		encoded, err := json.Marshal(leaving)
		Expect(err).NotTo(HaveOccurred())
		f.put(f.platformURL()+"/standin/instances/"+leaving.ID, string(encoded))
		f.offer(0, 1, 2)
		before := f.load(0).Requests
		f.offer(0, 1, 2)
		Expect(f.load(0).Requests).To(Equal(before))
	})

	It("gets no new work from any entry 3 s after it has reported to one that it leaves, with the platform down", func() {
		f.setFaults(f.platformURL(), `{"outage":true}`)
		f.setFaults("http://"+f.upstreams[0].listening("upstream"), `{"leaving":true}`)
		f.offer(0)
		before := f.load(0).Requests
		f.offer(0, 1, 2)
		Expect(f.load(0).Requests).To(Equal(before))
	})
})

// offer sends 3 s of load to each of these entries concurrently; all requests
// must complete.
func (f *testFleet) offer(entries ...int) {
	GinkgoHelper()
	results := make(chan load.Result, len(entries))
	for _, i := range entries {
		plan := rollingPlan(f.callers(i) + "/tags/8812")
		plan.Rate, plan.Count = leavingRate, leavingRequests
		go func() { results <- load.Run(context.Background(), plan) }()
	}
	for range entries {
		result := <-results
		Expect(result.Completed).To(Equal(leavingRequests), "%+v", result.Failures)
	}
}

// load returns the load that the i-th upstream has measured.
func (f *testFleet) load(i int) upstream.Load {
	GinkgoHelper()
	response, err := http.Get("http://" + f.upstreams[i].listening("upstream") + "/standin/load")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var seen upstream.Load
	Expect(json.NewDecoder(response.Body).Decode(&seen)).To(Succeed())
	return seen
}

// instance returns the i-th upstream as the platform lists it.
func (f *testFleet) instance(i int) fleet.Instance {
	GinkgoHelper()
	response, err := http.Get(f.platformURL() + "/v1/instances")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var all []fleet.Instance
	Expect(json.NewDecoder(response.Body).Decode(&all)).To(Succeed())
	address := f.upstreams[i].listening("upstream")
	for _, one := range all {
		if one.Address == address {
			return one
		}
	}
	Fail("the upstream at " + address + " is not listed")
	return fleet.Instance{}
}

// setFaults sets the faults that the stand-in at url injects.
func (f *testFleet) setFaults(url, faults string) { f.put(url+"/standin/faults", faults) }

func (f *testFleet) put(url, body string) {
	GinkgoHelper()
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
