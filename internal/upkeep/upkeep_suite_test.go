package upkeep_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUpkeep(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upkeep")
}
