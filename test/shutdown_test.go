package test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/load"
)

// Load during the restarts of entries.
const (
	rollingRequests = 10000
	rollingRate     = 1000 // requests per second
	rollingWorkers  = 32
	rollingPart     = 1000 // requests offered between two checks for the end of the restarts
)

var _ = Describe("graceful shutdown", func() {
	It("interrupts no request while all six entries are restarted in turn under load", func() {
		f := startFleet("tags", 3, 0)
		for i := range 6 {
			f.startEntryWithNotice(i)
		}
		f.configure(registryAnswers)
		for _, u := range f.upstreams {
			f.setFaults("http://"+u.listening("upstream"), `{"slowMillis":5}`)
		}
		b := startBalancer(len(f.entries))
		for i := range f.entries {
			b.put(i, f.callers(i), f.operator(i))
			Eventually(b.backends[i].Load().ready.Load, patience).Should(BeTrue())
			Eventually(func() string { return get(f.callers(i) + "/tags/1").outcome }, patience).Should(Equal("completed"))
		}

		var restarted atomic.Bool
		total := make(chan load.Result, 1)
		go func() {
			defer GinkgoRecover()
			var all load.Result
			for !restarted.Load() || all.Completed+all.Refused+all.Broken < rollingRequests {
				part := load.Run(context.Background(), rollingPlan(b.server.URL+"/tags/8812"))
				all.Completed, all.Refused, all.Broken = all.Completed+part.Completed, all.Refused+part.Refused, all.Broken+part.Broken
			}
			total <- all
		}()
		for i := range f.entries {
			leaving := f.entries[i]
			leaving.session.Terminate()
			Expect(leaving.exits()).To(Equal(0))
			f.startEntryWithNotice(i)
			f.entries[i], f.entries = f.entries[len(f.entries)-1], f.entries[:len(f.entries)-1]
			Eventually(func() string { return get(f.callers(i) + "/tags/1").outcome }, patience).Should(Equal("completed"))
			b.put(i, f.callers(i), f.operator(i))
			Eventually(b.backends[i].Load().ready.Load, patience).Should(BeTrue())
		}
		restarted.Store(true)
		var all load.Result
		Eventually(total, 2*patience).Should(Receive(&all))
		GinkgoWriter.Printf("%d completed, %d refused, %d broken\n", all.Completed, all.Refused, all.Broken)
		Expect(all.Completed).To(BeNumerically(">=", rollingRequests))
		Expect(all.Refused).To(BeZero())
		Expect(all.Broken).To(BeZero())
	})

	It("lets a long request finish, has its caller close the connection, and reports not ready at once", func() {
		f := startFleet("rights", 1, 1)
		f.configure(registryAnswers)
		Eventually(func() string { return get(f.callers(0) + "/rights/1").outcome }, patience).Should(Equal("completed"))
		upstream := "http://" + f.upstreams[0].listening("upstream")
		f.setFaults(upstream, `{"slowMillis":1500}`)
		before := f.load(0).Requests
		done := make(chan *http.Response, 1)
		go func() {
			defer GinkgoRecover()
			r, err := http.NewRequest(http.MethodPost, f.callers(0)+"/rights/1", strings.NewReader("long"))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Persimmonbay-Team", "herders")
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			done <- response
		}()
		Eventually(func() int { return f.load(0).Requests }, patience).Should(Equal(before + 1))
		f.entries[0].session.Terminate()
		Eventually(func() int { return readyStatus(f.operator(0)) }, patience).Should(Equal(http.StatusServiceUnavailable))
		var response *http.Response
		Eventually(done, patience).Should(Receive(&response))
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get("Persimmonbay-Outcome")).To(Equal("completed"))
		Expect(f.entries[0].exits()).To(Equal(0))
	})
})

func rollingPlan(target string) load.Plan {
	return load.Plan{
		Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: rollingWorkers, DisableKeepAlives: false}},
		Senders: rollingWorkers, Rate: rollingRate, Count: rollingPart,
		Request: func(int) (*http.Request, error) {
			r, err := http.NewRequest(http.MethodPost, target, strings.NewReader("body"))
			if err == nil {
				r.Header.Set("Persimmonbay-Team", "herders")
			}
			return r, err
		},
	}
}

func readyStatus(operator string) int {
	response, err := http.Get("http://" + operator + "/-/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// startEntryWithNotice starts an entry that, on shutdown, goes on serving long
// enough for the balancer to see that it is not ready.
func (f *testFleet) startEntryWithNotice(i int) {
	GinkgoHelper()
	settings := strings.Replace(f.entrySettings(i), "shutdownNotice: 100ms", "shutdownNotice: 500ms", 1)
	Expect(settings).To(ContainSubstring("shutdownNotice: 500ms"))
	file, err := os.CreateTemp(f.dir, "entry-*.yaml")
	Expect(err).NotTo(HaveOccurred())
	_, err = file.WriteString(settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(file.Close()).To(Succeed())
	e := start("entry", "-config", file.Name())
	e.listening("callers")
	f.entries = append(f.entries, e)
}
