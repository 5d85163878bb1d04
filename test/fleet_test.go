package test

import (
	"fmt"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testFleet is a stand-in platform, stand-in upstreams and entries, each a
// separate process.
type testFleet struct {
	dir       string
	platform  *process
	upstreams []*process
	entries   []*process
}

// startFleet starts a platform, upstreams of the service and entries, and
// returns when all of them listen.
func startFleet(service string, upstreams, entries int) *testFleet {
	GinkgoHelper()
	f := &testFleet{dir: GinkgoT().TempDir(), platform: start("standin", "platform")}
	for i := range upstreams {
		f.startUpstream(service, i)
	}
	for i := range entries {
		f.startEntry(i)
	}
	return f
}

func (f *testFleet) platformURL() string { return "http://" + f.platform.listening("platform") }

func (f *testFleet) startUpstream(service string, i int) {
	GinkgoHelper()
	u := start("standin", "upstream", "-platform", f.platformURL(), "-service", service,
		"-id", fmt.Sprintf("%s-%d", service, i+1), "-zone", zone(i), "-rack", fmt.Sprintf("rack-%d", i+1))
	u.listening("upstream")
	f.upstreams = append(f.upstreams, u)
}

func (f *testFleet) startEntry(i int) {
	GinkgoHelper()
	file := filepath.Join(f.dir, fmt.Sprintf("entry-%d.yaml", i+1))
	Expect(os.WriteFile(file, []byte(f.entrySettings(i)), 0o600)).To(Succeed())
	e := start("entry", "-config", file)
	e.listening("callers")
	f.entries = append(f.entries, e)
}

func (f *testFleet) entrySettings(i int) string {
	return fmt.Sprintf(`id: entry-%d
availabilityZone: %s
platform:
  address: %s
membership:
  heartbeat: 100ms
limits:
  instancesEvery: 100ms
  shutdownNotice: 100ms
maintenance:
  fence: 3s
  rebootGrace: 5s
secrets:
  peerKey: %s
  operatorToken: %s
`, i+1, zone(i), f.platformURL(), testPeerKey, testToken)
}

func (f *testFleet) operator(i int) string { return f.entries[i].listening("operators") }

func (f *testFleet) callers(i int) string { return "http://" + f.entries[i].listening("callers") }

// configure generates a configuration from the questionnaire's answers, applies
// it through the first entry and waits until it is in force on all.
func (f *testFleet) configure(answers string) {
	GinkgoHelper()
	code, generated, stderr := command("config", "generate", answers)
	Expect(code).To(Equal(0), stderr)
	file := filepath.Join(f.dir, "fleet.yaml")
	Expect(os.WriteFile(file, []byte(generated), 0o600)).To(Succeed())
	code, _, stderr = command("config", "check", file)
	Expect(code).To(Equal(0), stderr)
	code, _, stderr = command("config", "apply", "-operator", f.operator(0), "-token", testToken, "-as", "amal", file)
	Expect(code).To(Equal(0), stderr)
	for i := range f.entries {
		Eventually(func() uint64 { return uint64(fleetStatus(f.operator(i)).ConfigurationVersion) }, patience).ShouldNot(BeZero())
	}
}

// zone returns the availability zone of the i-th instance, one of three in turn.
func zone(i int) string { return fmt.Sprintf("az-%d", i%3+1) }
