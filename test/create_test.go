package test

import (
	"encoding/json"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/operator/message"
)

var _ = Describe("operators of a fleet", func() {
	It("create pools, services and teams, and are told what to do when that can't be", func() {
		f := startFleet("tags", 1, 2)
		f.configure(registryAnswers)
		ask := func(words ...string) (int, string, string) {
			last := []string{"-operator", f.operator(0), "-token", testToken, "-as", "amal"}
			return command(slices.Concat(words[:2], last, words[2:])...)
		}
		for _, words := range [][]string{{"pool", "create", "camps"}, {"team", "create", "-late-means", "harm", "parents"}, {"service", "create", "-pool", "camps", "fittings"}, {"service", "create", "recalls"}} {
			code, out, stderr := ask(words...)
			Expect(code).To(Equal(0), "%v: %s", words, stderr)
			Expect(out).To(ContainSubstring("ACCEPTED"))
			code, _, stderr = ask(words...)
			Expect(code).To(Equal(1), "%v again", words)
			Expect(stderr).To(ContainSubstring("already"))
		}
		for words, hint := range map[[4]string]string{
			{"pool", "create", "-output=json", "No Name"}:               "expected",
			{"team", "create", "-late-means=never", "others"}:           "harm, annoyance or nothing",
			{"service", "create", "-runners=0", "others"}:               "-runners: expected at least 1",
			{"instance", "create", "-output=json", "tags-9"}:            "flag provided but not defined",
			{"service", "create", "-answer-within=0s", "others"}:        "timeout",
			{"team", "create", "-people=3", "-people=4"}:                "expected one TEAM",
			{"pool", "create", "-output=yaml", "others"}:                "expected json or table",
			{"service", "create", "-must-not-repeat=report", "reports"}: "expected",
		} {
			code, _, stderr := ask(words[:]...)
			Expect(code).To(Equal(2), "%v: %s", words, stderr)
			Expect(stderr).To(ContainSubstring(hint), "%v", words)
		}
		code, _, stderr := ask("service", "create", "-pool", "nowhere", "others")
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
		for _, words := range [][]string{{"config", "show"}, {"config", "status"}, {"config", "history"}, {"pool", "list"}, {"pool", "show", "tags"},
			{"instance", "list"}, {"instance", "show", "tags-1"}, {"service", "list"}, {"service", "show", "tags"},
			{"team", "list"}, {"team", "show", "herders"}, {"wave", "status"}, {"status"}} {
			at := min(2, len(words))
			read := func(output string) string {
				code, out, stderr := command(slices.Concat(words[:at], []string{"-operator", f.operator(0), "-output", output}, words[at:])...)
				Expect(code).To(Equal(0), "%v: %s", words, stderr)
				return out
			}
			Expect(json.Valid([]byte(read("json")))).To(BeTrue(), "%v", words)
			Expect(read("table")).NotTo(BeEmpty(), "%v", words)
		}
	})
})
