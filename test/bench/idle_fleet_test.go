package bench

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"testing"
	"time"

	standinplatform "persimmonbay/internal/standin/platform"
)

// registryServices are the services of the Registry's example configuration.
var registryServices = []string{"tags", "renewals", "transfers", "inspections", "rights"}

// idleFleet is a stand-in platform and entries, each a separate process.
type idleFleet struct {
	platform  string // HOST:PORT
	processes []*exec.Cmd
	entries   []*exec.Cmd
	operators []string // HOST:PORT of each entry
}

// startUnconfigured starts a platform with instances, and entries without a
// configuration. The entries read the list of instances at instancesEvery.
func startUnconfigured(b *testing.B, binary string, size idleSize, instancesEvery string) *idleFleet {
	f := &idleFleet{}
	f.platform = f.start(b, exec.Command(binary, "standin", "platform"), "platform")
	f.put(b, "/standin/faults", standinplatform.Faults{NoTags: size.noTags})
	for i, instance := range instanceList(size.instances) {
		instance.Service = registryServices[i%len(registryServices)]
		f.put(b, "/standin/instances/"+instance.ID, instance)
	}
	for i := range size.entries {
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

// startIdle starts a fleet and waits until a configuration is in force and
// startup is complete.
func startIdle(b *testing.B, binary string, size idleSize) *idleFleet {
	f := startUnconfigured(b, binary, size, "1s")
	operator := f.operators[size.entries-1]
	configuration := "../../examples/registry/configuration.yaml"
	if out, err := exec.Command(binary, "config", "apply", "-operator", operator, "-token", "bench-operator-token", configuration).CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for !ready(operator) {
		time.Sleep(10 * time.Millisecond)
	}
	f.settle(b)
	return f
}

// put sends body to a control endpoint of the stand-in platform.
func (f *idleFleet) put(b *testing.B, path string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platform+path, bytes.NewReader(encoded))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_ = response.Body.Close()
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
	b.Fatal("process exited before it listened")
	return ""
}

// settle waits until writes to the store have fallen to those that renew leases,
// so that all instances are assigned to pools, and then for the time in which
// heartbeats and slots reach their steady rate.
func (f *idleFleet) settle(b *testing.B) {
	const window, writesPerEntry = 3 * time.Second, 1.5 // a second
	for {
		before := f.calls(b).Writes
		time.Sleep(window)
		if float64(f.calls(b).Writes-before) < writesPerEntry*window.Seconds()*float64(len(f.entries)) {
			break
		}
	}
	time.Sleep(window)
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
