package ledger_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// suite is the test that runs the specs. Specs pass it to synctest.Test.
var suite *testing.T

func TestLedger(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}
