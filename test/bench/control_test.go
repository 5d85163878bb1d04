package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	standinplatform "persimmonbay/internal/standin/platform"
)

// idleFor is how long the idle fleet is measured.
const idleFor = 10 * time.Second

// BenchmarkIdleControl starts 3, 7 and 14 entries as processes and prints what
// membership and configuration cost each of them while nothing happens. Bytes
// are those of all read and write calls, without the headers of TCP and IP;
// the list of instances is read every hour.
func BenchmarkIdleControl(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "persimmonbay")
	if out, err := exec.Command("go", "build", "-o", binary, "persimmonbay/cmd/persimmonbay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for range b.N {
		fmt.Printf("%8s %14s %14s %12s %12s %8s\n", "entries", "sent B/s", "received B/s", "calls/s", "CPU ms/s", "RSS MB")
		for _, n := range []int{3, 7, 14} {
			measureIdle(b, binary, n)
		}
	}
}

func measureIdle(b *testing.B, binary string, n int) {
	f := startIdle(b, binary, n)
	defer f.stop()
	before, callsBefore := f.usages(b), f.calls(b)
	time.Sleep(idleFor)
	after, callsAfter := f.usages(b), f.calls(b)
	var total usage
	for i := range after {
		total = total.plus(after[i].minus(before[i]))
		total.rss += after[i].rss
	}
	perEntry := float64(n) * idleFor.Seconds()
	calls := float64(callsAfter.Reads + callsAfter.Writes + callsAfter.Watches - callsBefore.Reads - callsBefore.Writes - callsBefore.Watches)
	fmt.Printf("%8d %14.0f %14.0f %12.2f %12.2f %8.1f\n", n, float64(total.written)/perEntry, float64(total.read)/perEntry, calls/perEntry,
		float64(total.cpu.Microseconds())/1000/perEntry, float64(total.rss)/float64(n)/(1<<20))
}

func (f *idleFleet) calls(b *testing.B) standinplatform.Calls {
	response, err := http.Get("http://" + f.platform + "/standin/calls")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var calls standinplatform.Calls
	if err := json.NewDecoder(response.Body).Decode(&calls); err != nil {
		b.Fatal(err)
	}
	return calls
}

func (f *idleFleet) usages(b *testing.B) []usage {
	all := make([]usage, len(f.entries))
	for i, e := range f.entries {
		var err error
		if all[i], err = usageOf(e.Process.Pid); err != nil {
			b.Fatal(err)
		}
	}
	return all
}

func writeFile(b *testing.B, name, content string) string {
	file := filepath.Join(b.TempDir(), name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		b.Fatal(err)
	}
	return file
}
