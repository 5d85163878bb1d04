package test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/operator/message"
)

// Secrets of the entries under test.
const (
	testPeerKey = "test-peer-key-0123456789"
	testToken   = "test-operator-token-0123"
)

// command runs the binary with args until it exits, and returns its exit code,
// standard output and standard error.
func command(args ...string) (code int, out, err string) {
	GinkgoHelper()
	p := start(args...)
	code = p.exits()
	return code, string(p.session.Out.Contents()), string(p.session.Err.Contents())
}

// fleetStatus returns the status that the entry at the operator address reports.
func fleetStatus(operator string) message.Status {
	GinkgoHelper()
	code, out, err := command("status", "-operator", operator, "-output", "json")
	Expect(code).To(Equal(0), err)
	var status message.Status
	Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
	return status
}
