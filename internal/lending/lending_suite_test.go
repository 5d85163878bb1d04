package lending_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLending(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lending")
}
