package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"testing"
	"time"
)

// idleFleet is a stand-in platform and entries, each a process.
type idleFleet struct {
	platform  string // HOST:PORT
	processes []*exec.Cmd
	entries   []*exec.Cmd
	operators []string // HOST:PORT of each entry
}

// startUnconfigured starts a platform and n entries.
func startUnconfigured(b *testing.B, binary string, n int, instancesEvery string) *idleFleet {
	f := &idleFleet{}
	f.platform = f.start(b, exec.Command(binary, "standin", "platform"), "platform")
	for i := range n {
		settings := writeFile(b, fmt.Sprintf("entry-%d.yaml", i), fmt.Sprintf(`id: entry-%d
availabilityZone: az-%d
platform: {address: "http://%s"}
limits: {instancesEvery: %s}
secrets: {peerKey: bench-peer-key-0123, operatorToken: bench-operator-token}
`, i, i%3, f.platform, instancesEvery))
		entry := exec.Command(binary, "entry", "-config", settings)
		f.operators = append(f.operators, f.start(b, entry, "operators"))
		f.entries = append(f.entries, entry)
	}
	return f
}

// startIdle starts a fleet with a configuration in force.
func startIdle(b *testing.B, binary string, n int) *idleFleet {
	f := startUnconfigured(b, binary, n, "1h")
	operator := f.operators[n-1]
	configuration := "../../examples/registry/configuration.yaml"
	if out, err := exec.Command(binary, "config", "apply", "-operator", operator, "-token", "bench-operator-token", configuration).CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for !ready(operator) {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // until heartbeats are regular
	return f
}

// start runs a process and returns the address in its "listening" log line.
func (f *idleFleet) start(b *testing.B, c *exec.Cmd, address string) string {
	log, err := c.StderrPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	f.processes = append(f.processes, c)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["msg"] == "listening" {
			go func() { _, _ = io.Copy(io.Discard, log) }()
			return fmt.Sprint(line[address])
		}
	}
	b.Fatal("the process ended before it listened")
	return ""
}

func (f *idleFleet) stop() {
	for _, p := range f.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

func ready(operator string) bool {
	response, err := http.Get("http://" + operator + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
