package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/operator/message"
	standinplatform "persimmonbay/internal/standin/platform"
	"persimmonbay/internal/standin/relay"
)

// spreadLimit is the longest time from the acceptance of a configuration until
// it is in force on all live entries.
const spreadLimit = 5 * time.Second

// configFleet is a fleet in which each entry connects to the platform through a
// relay of its own, and to its peers by seed addresses.
type configFleet struct {
	*testFleet
	relays    []*relay.Relay
	heartbeat string
}

func startConfigFleet(entries int) *configFleet { return startConfigFleetWith(entries, "100ms") }

func startConfigFleetWith(entries int, heartbeat string) *configFleet {
	GinkgoHelper()
	f := &configFleet{testFleet: startFleet("tags", 0, 0), heartbeat: heartbeat}
	for i := range entries {
		r, err := relay.Listen(f.platform.listening("platform"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		f.relays = append(f.relays, r)
		f.entries = append(f.entries, f.startBehindRelay(i))
	}
	return f
}

// startBehindRelay starts the i-th entry. Its seeds are all other running
// entries.
func (f *configFleet) startBehindRelay(i int) *process {
	GinkgoHelper()
	var seeds []string
	for j, e := range f.entries {
		if j != i {
			seeds = append(seeds, e.listening("peers"))
		}
	}
	settings := strings.Replace(f.entrySettings(i), f.platform.listening("platform"), f.relays[i].Address(), 1)
	settings = strings.Replace(settings, "heartbeat: 100ms", "heartbeat: "+f.heartbeat, 1)
	settings += fmt.Sprintf("peers:\n  seeds: [%s]\n", strings.Join(seeds, ", "))
	file := filepath.Join(f.dir, fmt.Sprintf("entry-%d.yaml", i+1))
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	e := start("entry", "-config", file)
	e.listening("callers")
	return e
}

// restart kills the i-th entry and starts it again, without waiting until its
// lease has expired.
func (f *configFleet) restart(i int) {
	GinkgoHelper()
	f.entries[i].kill()
	f.entries[i] = f.startBehindRelay(i)
}

// apply applies the registry's configuration with its organisation renamed to
// author, through the i-th entry, and returns the accepted version.
func (f *configFleet) apply(i int, base uint64, author string) uint64 {
	GinkgoHelper()
	code, out, stderr := command(f.applyArguments(i, base, author)...)
	Expect(code).To(Equal(0), stderr)
	var accepted message.ApplyResponse
	Expect(json.Unmarshal([]byte(out), &accepted)).To(Succeed())
	return uint64(accepted.Version)
}

func (f *configFleet) applyArguments(i int, base uint64, author string) []string {
	GinkgoHelper()
	code, generated, stderr := command("config", "generate", registryAnswers)
	Expect(code).To(Equal(0), stderr)
	_, rest, _ := strings.Cut(generated, "\n")
	file := filepath.Join(f.dir, author+".yaml")
	Expect(os.WriteFile(file, []byte("organisation: "+author+"\n"+rest), 0o600)).To(Succeed())
	return []string{"config", "apply", "-operator", f.operator(i), "-token", testToken, "-as", author,
		"-base", fmt.Sprint(base), "-output", "json", file}
}

// faults sets the faults that the stand-in platform injects.
func (f *configFleet) faults(faults standinplatform.Faults) {
	GinkgoHelper()
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, f.platformURL()+"/standin/faults", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// expectInForce waits, for at most spreadLimit, until all entries have the
// version in force.
func (f *configFleet) expectInForce(version uint64) {
	GinkgoHelper()
	began := time.Now()
	for i := range f.entries {
		Eventually(func() uint64 { return f.version(i) }, spreadLimit-time.Since(began), 5*time.Millisecond).Should(Equal(version), f.entries[i].log)
	}
	AddReportEntry("spread", time.Since(began).String())
}

// version returns the configuration version in force on the i-th entry, 0 when
// the entry does not answer.
func (f *configFleet) version(i int) uint64 {
	return versionInForce(context.Background(), f.operator(i))
}

// ready returns the status of the i-th entry's readiness endpoint, 0 when it does
// not answer.
func (f *configFleet) ready(i int) int {
	response, err := http.Get("http://" + f.operator(i) + "/-/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (p *process) log() string { return string(p.session.Err.Contents()) }

func versionInForce(ctx context.Context, operator string) uint64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/v1/status", nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var status message.Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return 0
	}
	return uint64(status.ConfigurationVersion)
}
