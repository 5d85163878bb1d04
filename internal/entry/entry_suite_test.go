package entry

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

// Each spec is checked for leaked goroutines.
var _ = ginkgo.BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	ginkgo.DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
})
