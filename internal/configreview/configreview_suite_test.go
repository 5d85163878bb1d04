package configreview_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfigReview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configreview")
}
