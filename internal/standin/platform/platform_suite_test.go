package platform_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestStandinPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-in platform")
}

// Each spec must end all goroutines that it starts.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
})
