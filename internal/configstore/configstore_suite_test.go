package configstore_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestConfigstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration store")
}

// Checks that each spec ends all goroutines that it started.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
})
