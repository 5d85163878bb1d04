package workstore_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWorkstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workstore")
}
