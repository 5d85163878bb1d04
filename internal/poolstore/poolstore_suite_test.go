package poolstore_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPoolstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poolstore")
}
