package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/operator/message"
	standinplatform "persimmonbay/internal/standin/platform"
)

// Fleet on which the first configuration is measured.
const (
	firstEntries    = 7
	firstSlowMillis = 5 // latency of each call to the platform
)

// BenchmarkFirstConfiguration prints the time from the acceptance of the first
// configuration until every entry has a pool for at least one instance, and until
// every entry has the pools of all instances.
func BenchmarkFirstConfiguration(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "persimmonbay")
	if out, err := exec.Command("go", "build", "-o", binary, "persimmonbay/cmd/persimmonbay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for range b.N {
		fmt.Printf("%8s %10s %12s %12s %12s\n", "pools", "instances", "first", "all", "writes/s")
		for _, size := range []struct{ pools, instances int }{{6, 50}, {63, 228}, {251, 910}} {
			measureFirst(b, binary, size.pools, size.instances)
		}
	}
}

func measureFirst(b *testing.B, binary string, pools, instances int) {
	f := startUnconfigured(b, binary, idleSize{entries: firstEntries}, "1s")
	defer f.stop()
	f.put(b, "/standin/faults", standinplatform.Faults{SlowMillis: firstSlowMillis})
	for i := range instances {
		id := fmt.Sprintf("instance-%04d", i)
		f.put(b, "/standin/instances/"+id, fleet.Instance{ID: id, Kind: fleet.KindUpstream, Service: fmt.Sprintf("service-%d", i%(pools-1)), State: fleet.Live})
	}
	time.Sleep(5 * time.Second) // until an entry holds the control lease and all have the list of instances
	f.apply(b, 0, largeDocument(b, pools, 60))
	before, began := f.calls(b), time.Now()
	first := f.assigned(b, began, 1)
	all := f.assigned(b, began, instances)
	writes := f.calls(b).Writes - before.Writes
	fmt.Printf("%8d %10d %12v %12v %12.0f\n", pools, instances, first.Round(time.Millisecond), all.Round(time.Millisecond), float64(writes)/all.Seconds())
}

// assigned waits until every entry has the pools of at least this many
// instances, and returns the time since began.
func (f *idleFleet) assigned(b *testing.B, began time.Time, instances int) time.Duration {
	for _, operator := range f.operators {
		for f.assignedOn(b, operator) < instances {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// assignedOn returns the number of instances that have a pool on one entry.
func (f *idleFleet) assignedOn(b *testing.B, operator string) int {
	response, err := http.Get("http://" + operator + "/v1/instances")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var all []message.InstanceStatus
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		b.Fatal(err)
	}
	n := 0
	for _, i := range all {
		if i.Pool != "" {
			n++
		}
	}
	return n
}
