package intake_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}
