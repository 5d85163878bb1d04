package hostile

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	answersFile   = "../../examples/registry/answers.yaml"
	operatorToken = "test-operator-token-0123"
)

const entrySettings = `id: entry-1
availabilityZone: az-1
platform: {address: "http://%s"}
limits: {bodyBytes: %d}
machine: {cores: 1, memoryMB: %d, descriptors: %d}
secrets: {peerKey: test-peer-key-0123456789, operatorToken: %s}
`

// entry is an entry that forwards requests, with a platform and an upstream of its own.
type entry struct {
	*process
	callers, operators, peers string // addresses
}

func startEntry(m machine) *entry {
	GinkgoHelper()
	platform := start("standin", "platform").logged("listening", "platform")
	start("standin", "upstream", "-platform", "http://"+platform, "-service", "tags", "-id", "tags-1", "-zone", "az-1", "-rack", "rack-1").logged("listening", "upstream")
	dir := GinkgoT().TempDir()
	file := filepath.Join(dir, "entry.yaml")
	Expect(os.WriteFile(file, fmt.Appendf(nil, entrySettings, platform, legalBody, m.megabytes, m.descriptors, operatorToken), 0o600)).To(Succeed())
	e := &entry{process: start("entry", "-config", file)}
	e.callers, e.operators, e.peers = e.logged("listening", "callers"), e.logged("listening", "operators"), e.logged("listening", "peers")
	configuration := filepath.Join(dir, "fleet.yaml")
	Expect(os.WriteFile(configuration, run("config", "generate", answersFile), 0o600)).To(Succeed())
	run("config", "apply", "-operator", e.operators, "-token", operatorToken, "-as", "amal", configuration)
	Eventually(e.forward, patience).Should(Equal(http.StatusOK))
	return e
}

// forward sends one ordinary request of a caller and returns the status, 0 without a response.
func (e *entry) forward() int { return ask(http.MethodGet, "http://"+e.callers+"/tags/1", "", "") }

// status asks once as an operator and returns the status, 0 without a response.
func (e *entry) status() int { return ask(http.MethodGet, "http://"+e.operators+"/v1/status", "", "") }
