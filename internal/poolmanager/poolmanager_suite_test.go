package poolmanager

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPoolmanager(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poolmanager")
}
