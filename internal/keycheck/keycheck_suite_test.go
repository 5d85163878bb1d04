package keycheck_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKeycheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keycheck")
}
