// Package test runs the built binary as separate processes.
package test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	_ "persimmonbay/internal/entry" // so that its change invalidates cached results
)

// binary is the path of the program built for this run.
var binary string

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "separate processes")
}

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("persimmonbay/cmd/persimmonbay", buildFlags...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
