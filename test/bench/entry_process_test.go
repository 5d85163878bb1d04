package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"persimmonbay/internal/standin/relay"
)

// clockTicks is the number of the kernel's ticks of processor time a second.
const clockTicks = 100

// entryProcess is one entry as a process of its own, with relays that count
// the bytes to the platform and those that come in from peers.
type entryProcess struct {
	command   *exec.Cmd
	operators string
	platform  *relay.Relay
	peers     *relay.Relay
}

// buildBinary builds the program and returns its path.
func buildBinary(b *testing.B) string {
	path := filepath.Join(b.TempDir(), "persimmonbay")
	if out, err := exec.Command("go", "build", "-o", path, "persimmonbay/cmd/persimmonbay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	return path
}

func startEntryProcess(b *testing.B, binary string, i int, platformAddress string) *entryProcess {
	peersAddress := freeAddress(b)
	e := &entryProcess{platform: startRelay(b, platformAddress), peers: startRelay(b, peersAddress)}
	file := filepath.Join(b.TempDir(), "entry.yaml")
	if err := os.WriteFile(file, []byte(e.settings(i, peersAddress)), 0o600); err != nil {
		b.Fatal(err)
	}
	e.command = exec.Command(binary, "entry", "-config", file)
	log, err := e.command.StderrPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := e.command.Start(); err != nil {
		b.Fatal(err)
	}
	e.operators = awaitListening(b, bufio.NewScanner(log))
	return e
}

func (e *entryProcess) settings(i int, peersAddress string) string {
	return fmt.Sprintf(`id: entry-%d
availabilityZone: az-%d
listen:
  peers: %s
advertise:
  peers: %s
platform:
  address: http://%s
secrets:
  peerKey: bench-peer-key-0123
  operatorToken: bench-operator-token
`, i+1, i%8+1, peersAddress, e.peers.Address(), e.platform.Address())
}

// awaitListening returns the operators' address from the log, and goes on
// reading it so that the process never waits for a reader.
func awaitListening(b *testing.B, log *bufio.Scanner) string {
	for log.Scan() {
		var line listeningLine
		if json.Unmarshal(log.Bytes(), &line) == nil && line.Message == "listening" {
			go func() {
				for log.Scan() {
				}
			}()
			return line.Operators
		}
	}
	b.Fatal("the entry ended before it listened")
	return ""
}

func startRelay(b *testing.B, target string) *relay.Relay {
	r, err := relay.Listen(target)
	if err != nil {
		b.Fatal(err)
	}
	return r
}

func freeAddress(b *testing.B) string {
	l := listen(b)
	defer l.Close()
	return l.Addr().String()
}

func (e *entryProcess) stop() {
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
	e.platform.Close()
	e.peers.Close()
}

// assigned returns how many instances have a pool, 0 when the entry does not
// answer.
func (e *entryProcess) assigned() int {
	var pools []pooled
	if getJSON("http://"+e.operators+"/v1/pools", &pools) != nil {
		return 0
	}
	n := 0
	for _, p := range pools {
		n += p.Instances
	}
	return n
}

func (e *entryProcess) usage(b *testing.B) usage {
	var vars processVars
	if err := getJSON("http://"+e.operators+"/debug/vars", &vars); err != nil {
		b.Fatal(err)
	}
	u := usage{platformBytes: e.platform.Carried(), peerBytes: e.peers.Carried()}
	for _, c := range vars.Entry.PlatformCalls {
		u.platformCalls += c.Calls
	}
	u.cpuSeconds, u.residentKB = processUsage(b, e.command.Process.Pid)
	return u
}

// processUsage reads the kernel's counters of a process.
func processUsage(b *testing.B, pid int) (cpuSeconds float64, residentKB int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return (user + system) / clockTicks, pages * int64(os.Getpagesize()) / 1024
}

func getJSON(url string, out any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(out)
}
