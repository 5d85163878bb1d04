// Package latecalls runs entries as separate processes against stand-ins of the platform's
// store and of workers. The workers lose calls and carry them out seconds later, also after
// they have started again under their former ID and address.
package latecalls

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	_ "persimmonbay/internal/jobentry" // so that its change invalidates cached results
)

// binaryVariable is the environment variable with the path of the program to run, such as
// one built from another commit. It is built from the present code if the variable is not set.
const binaryVariable = "PERSIMMONBAY_BINARY"

// binary is the path of the program that this run starts.
var binary string

func TestLateCalls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "late calls")
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
