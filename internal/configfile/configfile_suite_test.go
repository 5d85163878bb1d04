package configfile_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestConfigfile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configfile")
}

// Each spec fails when it leaves goroutines running.
var _ = BeforeEach(func() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
})
