package test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os/exec"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// patience bounds the wait for a condition on a busy machine.
const patience = 60 * time.Second

// process is a running persimmonbay process. It is killed when its spec ends.
type process struct {
	session *gexec.Session
}

func start(args ...string) *process {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(binary, args...), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	p := &process{session: session}
	DeferCleanup(p.kill)
	return p
}

// listening waits for the log line "listening" and returns the address in its
// field name.
func (p *process) listening(name string) string {
	GinkgoHelper()
	var address string
	Eventually(func() string {
		address = p.logged("listening", name)
		return address
	}, patience).ShouldNot(BeEmpty(), func() string { return "log: " + string(p.session.Err.Contents()) })
	return address
}

// logged returns a string field of the first log line with this message, or the
// empty string.
func (p *process) logged(message, field string) string {
	lines := bufio.NewScanner(bytes.NewReader(p.session.Err.Contents()))
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["msg"] == message {
			text, _ := line[field].(string)
			return text
		}
	}
	return ""
}

// kill kills the process and checks that its race detector, if built in, has
// reported no race.
func (p *process) kill() {
	GinkgoHelper()
	p.session.Kill().Wait(patience)
	Expect(string(p.session.Err.Contents())).NotTo(ContainSubstring("WARNING: DATA RACE"))
}

// exits waits until the process has exited and returns its exit code.
func (p *process) exits() int {
	GinkgoHelper()
	Eventually(p.session, patience).Should(gexec.Exit())
	return p.session.ExitCode()
}
