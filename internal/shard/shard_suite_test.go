package shard

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shard")
}
