package readbudget

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReadBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "read budget")
}
