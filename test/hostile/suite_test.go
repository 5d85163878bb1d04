// Package hostile runs entries as separate processes against clients that keep to no limit.
// It checks that the process lives, that its memory and its descriptors stay within those of its
// machine, and that one ordinary request is answered while the clients' connections are open.
// Nothing here depends on the speed of the machine.
package hostile

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	_ "persimmonbay/internal/entry" // so that its change invalidates cached results
	_ "persimmonbay/internal/jobentry"
)

// binaryVariable is the environment variable with the path of the program to run, such as
// one built from another commit. It is built from the present code if the variable is not set.
const binaryVariable = "PERSIMMONBAY_BINARY"

// binary is the path of the program that this run starts. It is never built with the race
// detector, whose shadow memory would count towards the bounds.
var binary string

func TestHostile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clients without control")
}

var _ = BeforeSuite(func() {
	if binary = os.Getenv(binaryVariable); binary != "" {
		return
	}
	var err error
	binary, err = gexec.Build("persimmonbay/cmd/persimmonbay", "-ldflags=-linkmode=external") // as in the deploy file
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
