package answertime_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAnswertime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answertime")
}
