package configfile_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configfile"
)

const examples = "../../examples/"

// read returns the content of an example file.
func read(name string) string {
	GinkgoHelper()
	data, err := os.ReadFile(examples + name)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = DescribeTable("a bad configuration is refused with file, line and field",
	func(old, replacement, expected string) {
		good := read("registry/configuration.yaml")
		Expect(good).To(ContainSubstring(old))
		_, err := configfile.ParseConfiguration("fleet.yaml", []byte(strings.Replace(good, old, replacement, 1)))
		Expect(err).To(HaveOccurred())
		Expect(strings.Split(err.Error(), "\n")).To(ContainElement(HavePrefix("fleet.yaml:" + expected)))
	},
	Entry("unknown key", "classes:\n", "colour: green\nclasses:\n", `2: colour: unknown field "colour"`),
	Entry("duplicate key", "classes:\n", "organisation: Other\nclasses:\n", `2: organisation: mapping key "organisation" already defined`),
	Entry("missing value", "organisation: Wadi Natrun Pastoral Registry Company", "organisation:", "1: organisation: expected a value, found none"),
	Entry("missing key", "    slots: 8\n", "", "36: services[0].slots: expected a value above 0"),
	Entry("bad duration", "timeout: 2s", "timeout: soon", `41: services[0].timeout: expected a duration`),
	Entry("duration without a unit", "timeout: 2s", "timeout: 7", `41: services[0].timeout: expected a duration`),
	Entry("negative duration", "timeout: 2s", "timeout: -2s", `41: services[0].timeout: expected a value above 0`),
	Entry("bad enum", "topClass: normal", "topClass: nrmal", `14: teams[1].topClass: class "nrmal": expected background, normal or urgent`),
	Entry("bad method", "method: POST", "method: PSOT", `52: services[1].nonIdempotent[0].method: expected one of`),
	Entry("string for a number", "slots: 8", "slots: many", `39: services[0].slots: expected a whole number, found "many"`),
	Entry("mapping for a list", "classes:\n  - class: urgent\n    weight: 5\n  - class: normal\n    weight: 3\n  - class: background\n    weight: 2\n", "classes: {class: urgent}\n", "2: classes: expected a list"),
	Entry("share above 1", "availabilityBudget: 0.167", "availabilityBudget: 3", "38: services[0].availabilityBudget: expected a value of at most 1"),
	Entry("reference to a pool that does not exist", "pool: tags", "pool: tagz", `37: services[0].pool: expected the name of a pool, found "tagz"`),
	Entry("two spare pools", "spare: false", "spare: true", "23: pools: expected exactly one spare pool, found 2"),
	Entry("no spare pool", "spare: true", "spare: false", "23: pools: expected exactly one spare pool, found 0"),
	Entry("the same team twice", "name: inspectors", "name: herders", `13: teams[1]: expected a unique name, found "herders" again (first at teams[0])`),
	Entry("name that is not allowed in a URL", "name: land-offices", "name: land/offices", "16: teams[2].name: expected a name of at most 63 letters"),
	Entry("jobs of a team that does not exist", "- team: inspectors", "- team: inspektors", `83: jobs.teams[0].team: expected the name of a team, found "inspektors"`),
	Entry("negative quota", "milliCores: 64000", "milliCores: -1", "86: jobs.teams[0].quota.milliCores: expected a value of at least 0"),
	Entry("pool with the name of the workers' pool", "  - name: rights\n    spare: false", "  - name: workers\n    spare: false", `23: pools: expected no pool named "workers"`),
	// The YAML library panicked on each of these three.
	Entry("tag without a value for a list", "classes:\n  - class: urgent\n    weight: 5\n  - class: normal\n    weight: 3\n  - class: background\n    weight: 2\n", "classes: !a\n", "2: classes: expected a list"),
	Entry("tagged scalar for a list", "classes:\n  - class: urgent\n    weight: 5\n  - class: normal\n    weight: 3\n  - class: background\n    weight: 2\n", "classes: !a b\n", "2: classes: expected a list"),
	Entry("alias of a tagged scalar for a list", "organisation: Wadi Natrun Pastoral Registry Company\nclasses:\n  - class: urgent\n    weight: 5\n  - class: normal\n    weight: 3\n  - class: background\n    weight: 2\n", "organisation: &a !b Registry\nclasses: *a\n", "2: classes: expected a list"),
	Entry("second document", "classes:\n", "---\nclasses:\n", "2: document: expected one document"),
	Entry("invalid YAML", "classes:\n", "\tclasses: [\n", "2: "),
)

var _ = DescribeTable("a bad questionnaire is refused with file, line and field",
	func(old, replacement, expected string) {
		good := read("registry/answers.yaml")
		Expect(good).To(ContainSubstring(old))
		_, err := configfile.ParseQuestionnaire("answers.yaml", []byte(strings.Replace(good, old, replacement, 1)))
		Expect(err).To(HaveOccurred())
		Expect(strings.Split(err.Error(), "\n")).To(ContainElement(HavePrefix("answers.yaml:" + expected)))
	},
	Entry("answer that is not one of the choices", "lateMeans: harm", "lateMeans: death", "5: teams[0].lateMeans: expected one of: harm annoyance nothing"),
	Entry("unknown question", "    people: 4000", "    persons: 4000", `6: persons: unknown field "persons"`),
	Entry("no people", "people: 4000", "people: 0", "6: teams[0].people: expected a value above 0"),
	Entry("all runners may be away", "mayBeAway: 2", "mayBeAway: 12", "19: services[0].mayBeAway: expected fewer than the 12 runners, found 12"),
	Entry("service with the name of the spare pool", "name: tags", "name: spare", `17: services[0].name: expected a name other than "spare"`),
	Entry("jobs of a team that is not listed under teams", "- team: reconciliation", "- team: reconciling", `55: jobs[1].team: expected the name of a team, found "reconciling"`),
	Entry("jobs without memory", "memoryGB: 256", "memoryGB: 0", "53: jobs[0].memoryGB: expected a value above 0"),
	Entry("path without a slash", "[/renewals]", "[renewals]", "29: services[1].mustNotRepeat[0]: expected a value that starts with /"),
	Entry("bad duration", "answerWithin: 2s", "answerWithin: 2 seconds", "22: services[0].answerWithin: expected a duration"),
	Entry("the same service twice", "name: renewals", "name: tags", `23: services[1]: expected a unique name`),
)
