package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/standin/upstream"
)

// wavePatience is how long a wave over a small fleet may take.
const wavePatience = 3 * time.Minute

var _ = Describe("a maintenance wave", func() {
	It("reboots each instance once while callers' requests run, also when the holder of the control lease is killed", func() {
		f := startFleet("tags", 7, 3)
		f.configure(registryAnswers)
		for i := range f.entries {
			Eventually(func() string { return get(f.callers(i) + "/tags/1").outcome }, patience).Should(Equal("completed"))
		}
		f.slowUpstreams()
		holder := f.controlHolder()
		operator := f.operator((holder + 1) % len(f.entries))
		code, _, stderr := command("wave", "start", "-operator", operator, "-token", testToken, "-as", "amal")
		Expect(code).To(Equal(0), stderr)

		callers := startCallers(f, holder)
		Eventually(func() int { return waveProgress(operator).Done }, wavePatience).Should(BeNumerically(">=", 2))
		Expect(waveProgress(operator).Wave.State).To(Equal(maintenance.WaveRunning))
		f.entries[holder].kill()
		Eventually(func() maintenance.WaveState { return waveProgress(operator).Wave.State }, wavePatience).Should(Equal(maintenance.WaveDone))
		results := callers.stop()

		Expect(results.failures).To(BeEmpty())
		Expect(results.completed).To(BeNumerically(">", 100))
		GinkgoWriter.Printf("requests completed during the wave: %d\n", results.completed)
		for i := range f.upstreams {
			Expect(f.upstreamLoad(i).Aborted).To(BeZero(), "requests that a reboot interrupted")
			Expect(f.reboots()).To(HaveKeyWithValue(fmt.Sprintf("tags-%d", i+1), 1))
		}
		for _, i := range f.instances(operator) {
			Expect(i.Phase).To(Equal(maintenance.Serving))
			Expect(i.Pool).To(Equal("tags"))
		}
	})

	It("moves an instance of the spare pool to a service that it then serves, and refuses what would break a budget", func() {
		f := startFleet("tags", 2, 2)
		f.configure(registryAnswers)
		operator := f.operator(0)
		Eventually(func() int { return len(f.serving(operator, "tags")) }, patience).Should(Equal(2))
		code, _, stderr := command("instance", "drain", "-operator", operator, "-token", testToken, "tags-1")
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("availability budget"))
		code, _, stderr = command("instance", "move", "-operator", operator, "-token", testToken, "-force", "tags-1", "renewals")
		Expect(code).To(Equal(0), stderr)
		Eventually(func() []string { return f.serving(operator, "renewals") }, patience).Should(ConsistOf("tags-1"))
		Eventually(func() string { return get(f.callers(1) + "/renewals/1").outcome }, patience).Should(Equal("completed"))
		Expect(f.serving(operator, "tags")).To(ConsistOf("tags-2"))
	})
})

// controlHolder returns the index of the entry that holds the control lease.
func (f *testFleet) controlHolder() int {
	GinkgoHelper()
	var holder string
	Eventually(func() string {
		var kv struct{ Value []byte }
		getJSON(f.platformURL()+"/v1/kv/persimmonbay/control/holder", &kv)
		holder = string(kv.Value)
		return holder
	}, patience).ShouldNot(BeEmpty())
	var i int
	_, err := fmt.Sscanf(holder, "entry-%d", &i)
	Expect(err).NotTo(HaveOccurred())
	return i - 1
}

// slowUpstreams delays every request by 800 ms, so that some are always in
// progress when an instance is rebooted.
func (f *testFleet) slowUpstreams() {
	GinkgoHelper()
	for _, u := range f.upstreams {
		request, err := http.NewRequest(http.MethodPut, "http://"+u.listening("upstream")+"/standin/faults", strings.NewReader(`{"slowMillis":800}`))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
}

func (f *testFleet) upstreamLoad(i int) upstream.Load {
	GinkgoHelper()
	var load upstream.Load
	getJSON("http://"+f.upstreams[i].listening("upstream")+"/standin/load", &load)
	return load
}

func (f *testFleet) reboots() map[string]int {
	GinkgoHelper()
	counts := map[string]int{}
	getJSON(f.platformURL()+"/standin/reboots", &counts)
	return counts
}

func (f *testFleet) instances(operator string) []message.InstanceStatus {
	GinkgoHelper()
	var instances []message.InstanceStatus
	code, out, err := command("instance", "list", "-operator", operator, "-output", "json")
	Expect(code).To(Equal(0), err)
	Expect(json.Unmarshal([]byte(out), &instances)).To(Succeed())
	return instances
}

// serving returns the IDs of the instances that serve the pool.
func (f *testFleet) serving(operator, pool string) []string {
	GinkgoHelper()
	var ids []string
	for _, i := range f.instances(operator) {
		if i.Pool == pool && i.Phase == maintenance.Serving {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

func waveProgress(operator string) maintenance.Progress {
	GinkgoHelper()
	var p maintenance.Progress
	code, out, err := command("wave", "status", "-operator", operator, "-output", "json")
	Expect(code).To(Equal(0), err)
	Expect(json.Unmarshal([]byte(out), &p)).To(Succeed())
	return p
}

func getJSON(url string, target any) {
	GinkgoHelper()
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(json.NewDecoder(response.Body).Decode(target)).To(Succeed())
}

// startCallers sends requests through every entry except the one with index
// except.
func startCallers(f *testFleet, except int) *waveCallers {
	c := &waveCallers{done: make(chan struct{})}
	for i := range f.entries {
		if i == except {
			continue
		}
		url := f.callers(i)
		for range 8 {
			c.running.Go(func() { c.call(url) })
		}
	}
	return c
}

func (c *waveCallers) call(url string) {
	defer GinkgoRecover()
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return
		default:
		}
		a := get(fmt.Sprintf("%s/tags/%d", url, n))
		c.record(a)
	}
}

func (c *waveCallers) record(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.status == http.StatusOK && a.outcome == "completed" {
		c.results.completed++
		return
	}
	c.results.failures = append(c.results.failures, fmt.Sprintf("%d %q %s", a.status, a.outcome, a.body))
}

// stop ends the callers and returns their results.
func (c *waveCallers) stop() waveResults {
	close(c.done)
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}
