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

// idleDuration is the time over which an idle fleet is measured.
const idleDuration = 10 * time.Second

// idleSizes are the fleet sizes that are measured.
var idleSizes = []idleSize{
	{entries: 3, instances: 50}, {entries: 7, instances: 50}, {entries: 14, instances: 50},
	{entries: 7, instances: 300}, {entries: 7, instances: 910}, {entries: 14, instances: 910},
	{entries: 7, instances: 910, noTags: true},
}

// BenchmarkIdleControl starts entries as processes and prints the average cost
// per entry of membership, configuration, slots and the list of instances while
// no requests are sent. Bytes are those of all read and write system calls,
// without the headers of TCP and IP.
func BenchmarkIdleControl(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "persimmonbay")
	if out, err := exec.Command("go", "build", "-o", binary, "persimmonbay/cmd/persimmonbay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for range b.N {
		fmt.Printf("%8s %9s %5s %9s %12s %8s %9s %8s %7s\n", "entries", "instances", "tags", "sent B/s", "received B/s", "most B/s", "calls/s", "CPU ms/s", "RSS MB")
		for _, size := range idleSizes {
			measureIdle(b, binary, size)
		}
	}
}

func measureIdle(b *testing.B, binary string, size idleSize) {
	f := startIdle(b, binary, size)
	defer f.stop()
	before, callsBefore := f.usages(b), f.calls(b)
	time.Sleep(idleDuration)
	after, callsAfter := f.usages(b), f.calls(b)
	var total usage
	var most uint64 // bytes read and written by the busiest entry
	for i := range after {
		used := after[i].minus(before[i])
		total = total.plus(used)
		total.rss += after[i].rss
		most = max(most, used.read+used.written)
	}
	perEntry := float64(size.entries) * idleDuration.Seconds()
	calls := float64(callsAfter.Reads + callsAfter.Writes + callsAfter.Watches - callsBefore.Reads - callsBefore.Writes - callsBefore.Watches)
	fmt.Printf("%8d %9d %5t %9.0f %12.0f %8.0f %9.2f %8.2f %7.1f\n", size.entries, size.instances, !size.noTags,
		float64(total.written)/perEntry, float64(total.read)/perEntry, float64(most)/idleDuration.Seconds(), calls/perEntry,
		float64(total.cpu.Microseconds())/1000/perEntry, float64(total.rss)/float64(size.entries)/(1<<20))
}

// calls returns the number of calls to the stand-in platform so far.
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

// usages returns the resource usage of each entry's process.
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
