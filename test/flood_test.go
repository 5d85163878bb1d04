package test

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/load"
	"persimmonbay/internal/standin/upstream"
)

// Load of the flood on two runners with 8 slots each and 20 ms of work per
// request: several times their capacity of 800 requests per second.
const (
	floodWorkers  = 200
	floodRequests = 5000
	calmRequests  = 60
	calmRate      = 20
	workMillis    = "20"
)

var _ = Describe("a flood", func() {
	It("stays within the slots of each upstream and leaves other teams their share", func() {
		f := startFleet("tags", 0, 3)
		for i := range 2 {
			u := start("standin", "upstream", "-platform", f.platformURL(), "-service", "tags", "-slow", workMillis,
				"-id", []string{"tags-1", "tags-2"}[i], "-zone", zone(i), "-rack", zone(i))
			u.listening("upstream")
			f.upstreams = append(f.upstreams, u)
		}
		f.configure(registryAnswers)
		for i := range f.entries {
			Eventually(func() string { return get(f.callers(i) + "/tags/1").outcome }, patience).Should(Equal("completed"))
		}
		f.flood("reconciliation", "background", "inspectors", "normal")
		f.flood("herders", "urgent", "inspectors", "normal")
		for _, u := range f.upstreams {
			seen := upstreamLoad(u)
			Expect(seen.MaxInFlight).To(BeNumerically("<=", 8))
			Expect(seen.MostConnections).To(BeNumerically("<=", 64))
		}
	})
})

// flood offers far more load than the capacity for one team and little for
// another, and checks that all requests of the other complete.
func (f *testFleet) flood(flooding, floodClass, calm, calmClass string) {
	GinkgoHelper()
	done := make(chan load.Result, 1)
	go func() {
		done <- load.Run(context.Background(), f.plan(flooding, floodClass, floodWorkers, floodRequests, 0))
	}()
	f.expectRefusal(flooding, floodClass)
	other := load.Run(context.Background(), f.plan(calm, calmClass, 4, calmRequests, calmRate))
	flood := <-done
	GinkgoWriter.Printf("%s flood: %d completed, %d refused, %d broken; other: %d completed, %d refused, %d broken, p99 %v\n", floodClass,
		flood.Completed, flood.Refused, flood.Broken, other.Completed, other.Refused, other.Broken, other.Quantile(99))
	Expect(other.Completed).To(Equal(calmRequests), "%+v", other.Failures)
	Expect(flood.Completed).To(BeNumerically(">", 0))
	Expect(flood.Broken).To(BeZero())
}

// expectRefusal sends requests with a timeout too short for a flooding team's
// queue until one is refused, and checks the response's headers.
func (f *testFleet) expectRefusal(team, class string) {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodGet, f.callers(0)+"/tags/1", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Persimmonbay-Team", team)
	request.Header.Set("Persimmonbay-Class", class)
	request.Header.Set("Persimmonbay-Timeout", "30")
	var response *http.Response
	var took time.Duration
	Eventually(func(g Gomega) {
		start := time.Now()
		response, err = http.DefaultClient.Do(request)
		took = time.Since(start)
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
	}, patience).Should(Succeed())
	GinkgoWriter.Printf("refused in %v\n", took)
	Expect(response.Header.Get("Persimmonbay-Outcome")).To(Equal("not-run"))
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(response.Header.Get("Content-Type")).To(Equal("application/problem+json"))
}

func (f *testFleet) plan(team, class string, workers, count int, rate float64) load.Plan {
	var callers []string
	for i := range f.entries {
		callers = append(callers, f.callers(i))
	}
	return load.Plan{
		Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}},
		Senders: workers, Count: count, Rate: rate, Timeout: 10 * time.Second,
		Request: func(i int) (*http.Request, error) {
			request, err := http.NewRequest(http.MethodGet, callers[i%len(callers)]+"/tags/1", nil)
			if err != nil {
				return nil, err
			}
			request.Header.Set("Persimmonbay-Team", team)
			request.Header.Set("Persimmonbay-Class", class)
			return request, nil
		},
	}
}

// upstreamLoad returns the load that a stand-in upstream has measured.
func upstreamLoad(u *process) upstream.Load {
	GinkgoHelper()
	response, err := http.Get("http://" + u.listening("upstream") + "/standin/load")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var seen upstream.Load
	Expect(json.NewDecoder(response.Body).Decode(&seen)).To(Succeed())
	return seen
}
