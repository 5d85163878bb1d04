package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/packed"
)

// spreadEntries is the number of entries to which a configuration spreads.
const spreadEntries = 14

// BenchmarkConfigurationSpread prints the time until configurations of growing
// size are accepted, and from then until they are in force on all entries.
func BenchmarkConfigurationSpread(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "persimmonbay")
	if out, err := exec.Command("go", "build", "-o", binary, "persimmonbay/cmd/persimmonbay").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for range b.N {
		f := startIdle(b, binary, idleSize{entries: spreadEntries})
		base := f.version(b, 0)
		fmt.Printf("%8s %8s %12s %12s %12s %12s\n", "pools", "teams", "bytes", "packed", "accepted", "everywhere")
		for _, size := range []struct{ pools, teams int }{{50, 60}, {251, 300}, {500, 600}} {
			source := largeDocument(b, size.pools, size.teams)
			began := time.Now()
			base = f.apply(b, base, source)
			accepted := time.Now()
			for i := range f.operators {
				for f.version(b, i) != base {
					time.Sleep(time.Millisecond)
				}
			}
			fmt.Printf("%8d %8d %12d %12d %12v %12v\n", size.pools, size.teams, len(source), len(packed.Pack(source)),
				accepted.Sub(began).Round(time.Millisecond), time.Since(accepted).Round(time.Millisecond))
		}
		f.stop()
	}
}

// apply applies a configuration through the first entry and returns its version.
func (f *idleFleet) apply(b *testing.B, base configuration.Version, source []byte) configuration.Version {
	client := operator.NewClient(f.operators[0], "bench-operator-token")
	defer client.Close()
	var accepted message.ApplyResponse
	in := message.ApplyRequest{Operator: "bench", Base: base, Source: source}
	if err := client.Send(context.Background(), http.MethodPut, "/v1/configuration", in, &accepted); err != nil {
		b.Fatal(err)
	}
	return accepted.Version
}

// version returns the configuration version in force on the i-th entry.
func (f *idleFleet) version(b *testing.B, i int) configuration.Version {
	response, err := http.Get("http://" + f.operators[i] + "/v1/status")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var status message.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		b.Fatal(err)
	}
	return status.ConfigurationVersion
}
