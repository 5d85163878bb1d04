package configfile_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
)

var _ = DescribeTable("generation gives exactly the users' committed configurations",
	func(user string) {
		answers, err := configfile.ParseQuestionnaire("answers.yaml", []byte(read(user+"/answers.yaml")))
		Expect(err).NotTo(HaveOccurred())
		generated, err := configfile.Render(configuration.Generate(answers))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(generated)).To(Equal(read(user + "/configuration.yaml")))
		parsed, err := configfile.ParseConfiguration("configuration.yaml", generated)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(Equal(configuration.Generate(answers)))
	},
	Entry("of the registry", "registry"),
	Entry("of the safety cell", "safety-cell"),
)

var _ = Describe("generation", func() {
	It("derives classes, routes and budgets from what late and repeated requests mean to the team", func() {
		answers, err := configfile.ParseQuestionnaire("answers.yaml", []byte(read("registry/answers.yaml")))
		Expect(err).NotTo(HaveOccurred())
		c := configuration.Generate(answers)
		herders, _ := c.Team("herders")
		Expect(herders.TopClass).To(Equal(fleet.Urgent))
		reconciliation, _ := c.Team("reconciliation")
		Expect(reconciliation.TopClass).To(Equal(fleet.Background))
		transfers, _ := c.Service("transfers")
		Expect(transfers.Idempotent("POST", "/transfers/9")).To(BeFalse())
		Expect(transfers.Idempotent("GET", "/transfers/9")).To(BeTrue())
		Expect(transfers.Timeout).To(Equal(5 * time.Second))
		Expect(transfers.AvailabilityBudget).To(BeNumerically("~", 0.125))
	})
})
