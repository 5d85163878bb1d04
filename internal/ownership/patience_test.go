package ownership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/ownership"
)

var _ = Describe("Patience", func() {
	members := []ownership.Member{{Name: "small", Weight: 0.2}, {Name: "medium", Weight: 0.4}, {Name: "large", Weight: 0.8}, {Name: "tiny", Weight: 0.01}, {Name: "other", Weight: 0.64}}

	// The smallest of 37 entries took over the busiest pool while its assigned owner was
	// cut off from the store, and had not read its jobs by the day's end.
	DescribeTable("makes weak members wait longer for the assigned owner", func(name string, want float64) {
		Expect(ownership.Patience(name, members)).To(BeNumerically("~", want, 1e-9))
	},
		Entry("the strongest", "large", 1.0),
		Entry("half as strong", "medium", 1.5),
		Entry("a little weaker", "other", 1.25),
		Entry("a quarter as strong", "small", 1.5),
		Entry("at most half as long again", "tiny", 1.5),
		Entry("one that is not registered", "unknown", 1.5),
	)
})
