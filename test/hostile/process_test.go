package hostile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// descriptorPause is the pause between two counts of the open descriptors.
const descriptorPause = 5 * time.Millisecond

// process is a running persimmonbay process with the machine that its settings name. It is
// killed when its spec ends.
type process struct {
	cmd             *exec.Cmd
	log             string // file
	exited          chan struct{}
	mostDescriptors atomic.Int64 // of all counts
}

// start runs the program and counts its descriptors until it exits.
func start(args ...string) *process {
	GinkgoHelper()
	p := &process{log: filepath.Join(GinkgoT().TempDir(), "log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait() // ends by a signal
		_ = log.Close()
		close(p.exited)
	}()
	go p.countDescriptors()
	DeferCleanup(func() {
		_ = p.cmd.Process.Kill() // it may have exited
		<-p.exited
		if CurrentSpecReport().Failed() {
			text, _ := os.ReadFile(p.log) // the failure is reported without it
			GinkgoWriter.Printf("log of %v:\n%s\n", args, text)
		}
	})
	return p
}

func (p *process) countDescriptors() {
	for {
		if open, err := os.ReadDir(p.file("fd")); err == nil {
			p.mostDescriptors.Store(max(p.mostDescriptors.Load(), int64(len(open))))
		}
		select {
		case <-p.exited:
			return
		case <-time.After(descriptorPause):
		}
	}
}

func (p *process) file(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// mostResident returns the largest resident set that the process has had, in bytes. What the
// kernel holds for its sockets is not in it.
func (p *process) mostResident() int64 {
	GinkgoHelper()
	status, err := os.ReadFile(p.file("status"))
	Expect(err).NotTo(HaveOccurred(), "the process has ended")
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	Fail("no VmHWM in " + p.file("status"))
	return 0
}

// expectWithin checks that the process lives and has kept within the machine.
func (p *process) expectWithin(m machine) {
	GinkgoHelper()
	Expect(p.exited).NotTo(BeClosed(), "the process has ended")
	resident := p.mostResident()
	GinkgoWriter.Printf("most resident %d MB of %d, most descriptors %d of %d\n", resident>>20, m.megabytes, p.mostDescriptors.Load(), m.descriptors)
	Expect(resident).To(BeNumerically("<=", int64(m.megabytes)<<20), "resident memory")
	Expect(p.mostDescriptors.Load()).To(BeNumerically("<=", m.descriptors), "open descriptors")
}

// logged waits for the log line message and returns its field name.
func (p *process) logged(message, name string) (value string) {
	GinkgoHelper()
	Eventually(func() string {
		data, err := os.ReadFile(p.log)
		Expect(err).NotTo(HaveOccurred())
		for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
			var line map[string]any
			if json.Unmarshal(lines.Bytes(), &line) == nil && line["msg"] == message {
				value, _ = line[name].(string)
				return value
			}
		}
		return ""
	}, patience).ShouldNot(BeEmpty())
	return value
}

// run runs the program until it has succeeded and returns its standard output.
func run(args ...string) []byte {
	GinkgoHelper()
	out, err := exec.Command(binary, args...).Output()
	Expect(err).NotTo(HaveOccurred(), "%v", args)
	return out
}
