package test

import (
	"encoding/json"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/operator/message"
)

var _ = Describe("operators of a fleet", func() {
	It("create pools, services and teams, and get a hint when that fails", func() {
		f := startFleet("tags", 1, 2)
		f.configure(registryAnswers)
		run := func(args ...string) (int, string, string) {
			flags := []string{"-operator", f.operator(0), "-token", testToken, "-as", "amal"}
			return command(slices.Concat(args[:2], flags, args[2:])...)
		}
		for _, args := range [][]string{{"pool", "create", "camps"}, {"team", "create", "-late-means", "harm", "parents"}, {"service", "create", "-pool", "camps", "fittings"}, {"service", "create", "recalls"}} {
			code, out, stderr := run(args...)
			Expect(code).To(Equal(0), "%v: %s", args, stderr)
			Expect(out).To(ContainSubstring("ACCEPTED"))
			code, _, stderr = run(args...)
			Expect(code).To(Equal(1), "%v again", args)
			Expect(stderr).To(ContainSubstring("already"))
		}
		for args, hint := range map[[4]string]string{
			{"pool", "create", "-output=json", "No Name"}:               "expected",
			{"team", "create", "-late-means=never", "others"}:           "harm, annoyance or nothing",
			{"service", "create", "-runners=0", "others"}:               "-runners: expected at least 1",
			{"instance", "create", "-output=json", "tags-9"}:            "flag provided but not defined",
			{"service", "create", "-answer-within=0s", "others"}:        "timeout",
			{"team", "create", "-people=3", "-people=4"}:                "expected one TEAM",
			{"pool", "create", "-output=yaml", "others"}:                "expected json or table",
			{"service", "create", "-must-not-repeat=report", "reports"}: "expected",
		} {
			code, _, stderr := run(args[:]...)
			Expect(code).To(Equal(2), "%v: %s", args, stderr)
			Expect(stderr).To(ContainSubstring(hint), "%v", args)
		}
		code, _, stderr := run("service", "create", "-pool", "nowhere", "others")
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("'pool create'"))
		var services []message.ServiceStatus
		Eventually(func() []message.ServiceStatus {
			_, out, _ := command("service", "list", "-operator", f.operator(1), "-output", "json")
			Expect(json.Unmarshal([]byte(out), &services)).To(Succeed())
			return services
		}, patience).Should(ContainElement(HaveField("Service", "recalls")))
		Expect(services).To(ContainElement(And(HaveField("Service", "fittings"), HaveField("Pool", "camps"))))
	})

	It("get JSON or a table from every command that reads", func() {
		f := startFleet("tags", 1, 1)
		f.configure(registryAnswers)
		Eventually(func() []string { return f.serving(f.operator(0), "tags") }, patience).Should(ConsistOf("tags-1"))
		for _, args := range [][]string{{"config", "show"}, {"config", "status"}, {"config", "history"}, {"pool", "list"}, {"pool", "show", "tags"},
			{"instance", "list"}, {"instance", "show", "tags-1"}, {"service", "list"}, {"service", "show", "tags"},
			{"team", "list"}, {"team", "show", "herders"}, {"wave", "status"}, {"status"}} {
			at := min(2, len(args))
			read := func(output string) string {
				code, out, stderr := command(slices.Concat(args[:at], []string{"-operator", f.operator(0), "-output", output}, args[at:])...)
				Expect(code).To(Equal(0), "%v: %s", args, stderr)
				return out
			}
			Expect(json.Valid([]byte(read("json")))).To(BeTrue(), "%v", args)
			Expect(read("table")).NotTo(BeEmpty(), "%v", args)
		}
	})
})
