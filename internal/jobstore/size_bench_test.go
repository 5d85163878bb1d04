package jobstore_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
)

// BenchmarkSize prints the stored size of a placed job, in bytes.
func BenchmarkSize(b *testing.B) {
	for range b.N {
		for _, n := range []int{10, 100, 1000} {
			s := jobstore.Shard{}
			for range n {
				j := placement.Job{ID: uuid.Must(uuid.NewV7()).String(), Team: "reconciliation", Name: "rights", Size: fleet.Resources{MilliCores: 4000, MemoryMB: 8192},
					RunTime: time.Hour, Work: `{"runMillis":3600000}`, By: "amal", Phase: placement.Queued, Submitted: time.Now().UTC(), Since: time.Now().UTC()}
				j, _ = j.Start("worker-123", time.Now().UTC())
				s = s.With(j)
			}
			encoded, err := json.Marshal(s)
			if err != nil {
				b.Fatal(err)
			}
			fmt.Printf("%5d jobs: %d bytes a job\n", n, len(encoded)/n)
		}
	}
}
