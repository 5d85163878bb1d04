package test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinplatform "persimmonbay/internal/standin/platform"
)

var _ = Describe("the configuration's command line", func() {
	It("refuses an invalid document with its file and line, and leaves the configuration in force unchanged", func() {
		f := startConfigFleet(1)
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		file := filepath.Join(f.dir, "bad.yaml")
		good, err := os.ReadFile("../examples/registry/configuration.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(file, []byte(strings.Replace(string(good), "timeout: 2s", "timeout: soon", 1)), 0o600)).To(Succeed())
		for _, args := range [][]string{
			{"config", "check", file},
			{"config", "apply", "-operator", f.operator(0), "-token", testToken, "-base", "1", file},
		} {
			code, _, stderr := command(args...)
			Expect(code).To(Equal(2))
			Expect(stderr).To(ContainSubstring(file + ":41: services[0].timeout: expected a duration"))
		}
		Expect(f.version(0)).To(Equal(first))
	})

	It("reports what to do when no entry answers, no token is given, or the file is missing", func() {
		code, _, stderr := command("config", "show", "-operator", "127.0.0.1:1")
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("choose another one with -operator"))
		code, _, stderr = command("config", "show")
		Expect(code).To(Equal(2))
		Expect(stderr).To(ContainSubstring("expected -operator HOST:PORT"))
		code, _, stderr = command("config", "check", "nowhere.yaml")
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("nowhere.yaml"))
		f := startConfigFleet(1)
		code, _, stderr = command("config", "apply", "-operator", f.operator(0), "../examples/registry/configuration.yaml")
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("pass -token or set PERSIMMONBAY_TOKEN"))
	})

	It("prints what it reads as JSON and as a table", func() {
		f := startConfigFleet(1)
		f.expectInForce(f.apply(0, 0, "first"))
		for _, read := range []string{"show", "status", "history"} {
			code, out, stderr := command("config", read, "-operator", f.operator(0), "-output", "json")
			Expect(code).To(Equal(0), stderr)
			Expect(json.Valid([]byte(out))).To(BeTrue(), out)
			code, out, stderr = command("config", read, "-operator", f.operator(0), "-output", "table")
			Expect(code).To(Equal(0), stderr)
			Expect(json.Valid([]byte(out))).To(BeFalse(), out)
			code, _, stderr = command("config", read, "-operator", f.operator(0), "-output", "xml")
			Expect(code).To(Equal(2))
			Expect(stderr).To(ContainSubstring("expected json or table"))
		}
	})
})

var _ = Describe("a slow store", func() {
	It("does not delay the spread of an accepted configuration", func() {
		f := startConfigFleet(3)
		first := f.apply(0, 0, "first")
		f.expectInForce(first)
		watchVersions(f.operator(0), f.operator(1), f.operator(2))
		f.faults(standinplatform.Faults{SlowMillis: 1000})
		f.expectInForce(f.apply(0, first, "second"))
	})
})
