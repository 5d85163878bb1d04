package ledger_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs; bubbles of fake time hang from it.
var suite *testing.T

func TestLedger(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}
