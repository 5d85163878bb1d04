package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configreview"
	"persimmonbay/platform"
)

const (
	soundJobConfig = `{"version": 7, "routes": [{"name": "batch", "host": "jobs.example", "prefix": "/", "service": "cpu"}], "services": [{"name": "cpu"}],
		"tenants": [{"name": "red", "api_keys": ["secret-r"], "weight": 1}]}`
	faultyJobConfig = `{"version": 7, "routes": [{"name": "batch", "host": "jobs.example", "prefix": "/", "service": "gpu"}],
		"tenants": [{"name": "red", "api_keys": ["secret-s"], "weight": 1}]}`
)

var _ = Describe("job-config check", func() {
	file := func(text string) string {
		name := filepath.Join(GinkgoT().TempDir(), "config.json")
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}

	It("passes a sound configuration", func() {
		code, out, _ := call("job-config", "check", "-output", "json", file(soundJobConfig))
		Expect(code).To(Equal(exitDone))
		Expect(out).To(MatchJSON(`{"findings": [], "differences": []}`))
	})

	It("exits with 1 on errors, and prints them with the differences and no key", func() {
		code, out, _ := call("job-config", "check", "-against", file(soundJobConfig), file(faultyJobConfig))
		Expect(code).To(Equal(exitFailed))
		Expect(out).To(And(MatchRegexp(`error +version +7 is not higher`), MatchRegexp(`error +queues\[0\] +service "gpu"`),
			MatchRegexp(`removed +pool "cpu"`), MatchRegexp(`changed +team "red" +keys \(1 added, 1 removed\)`), Not(ContainSubstring("secret"))))
	})

	It("refuses with 1 what the entries refuse and what cannot be read, and with 2 wrong arguments", func() {
		code, _, stderr := call("job-config", "check", file(`{"routes": [{"timeout_ms": -1}]}`))
		Expect(code).To(Equal(exitFailed))
		Expect(stderr).To(ContainSubstring("routes[0].timeout_ms: out of bounds"))
		for _, args := range [][]string{{file("{")}, {"no-such-file"}, {"-against", "no-such-file", file(soundJobConfig)}} {
			code, _, _ = call(append([]string{"job-config", "check"}, args...)...)
			Expect(code).To(Equal(exitFailed), "%v", args)
		}
		for _, args := range [][]string{{}, {"a", "b"}, {"-output", "xml", file(soundJobConfig)}} {
			code, _, _ = call(append([]string{"job-config", "check"}, args...)...)
			Expect(code).To(Equal(exitUsage), "%v", args)
		}
	})
})

// FuzzJobConfigCheck checks that no configuration makes the check panic, and that none
// differs from itself.
func FuzzJobConfigCheck(f *testing.F) {
	for _, text := range []string{"", "null", soundJobConfig, faultyJobConfig, `{"routes": [{}, {"host": ":"}], "services": [{}, {}], "tenants": [{"name": "a"}]}`} {
		f.Add([]byte(text), []byte(soundJobConfig))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a, errA := platform.DecodeConfiguration(first)
		b, errB := platform.DecodeConfiguration(second)
		if errA != nil || errB != nil {
			return
		}
		configreview.Review(a)
		configreview.Supersedes(a, b)
		configreview.Compare(a, b)
		if d := configreview.Compare(a, a); len(d) > 0 {
			t.Errorf("differs from itself: %v", d)
		}
	})
}
