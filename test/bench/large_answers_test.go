package bench

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/request"
	standinplatform "persimmonbay/internal/standin/platform"
)

// Load of one entry in a fleet of seven.
const (
	largeEntries = 7
	largeRate    = 40 // claims per second
	largePhase   = 5 * time.Second
)

// largeSizes are the sizes of answers in bytes. All answers of a run have one size.
var largeSizes = []int{1 << 10, 8 << 10, 64 << 10, 1 << 20}

// BenchmarkLargeAnswers sends claims with answers of several sizes to the ledger
// of one entry and prints the number of answers it stored and their cost.
func BenchmarkLargeAnswers(b *testing.B) {
	for _, size := range largeSizes {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			for range b.N {
				measureLargeAnswers(size)
			}
		})
	}
}

func measureLargeAnswers(size int) {
	kv := standinplatform.NewStore(clockwork.NewRealClock())
	store := newSlowStore(kv, 5*time.Millisecond)
	live := []string{"entry-1"}
	for i := 1; i < largeEntries; i++ {
		live = append(live, fmt.Sprintf("absent-%d", i))
	}
	own := ledger.New(ledgerstore.New(store), largeAnswers(store), &unreachablePeers{live: live}, clockwork.NewRealClock(), ledger.DefaultOptions("entry-1"))
	l := newClaimLoad([]request.Ledger{own}, largeRate)
	l.answer = size
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	l.run(largePhase)
	elapsed := time.Since(start)
	_ = own.Close(context.Background())
	runtime.ReadMemStats(&after)
	l.report(fmt.Sprintf("answers of %d bytes", size), elapsed, store.writes.Load(), store.reads.Load())
	counts := own.Counters()
	fmt.Printf("%-44s %d stored outside the log, %d not stored, %.1f MB in the store, %.0f kB allocated per claim\n", "",
		counts.Get("answersKept"), counts.Get("answersLeftOut"), storedBytes(kv)/1e6, float64(after.TotalAlloc-before.TotalAlloc)/1e3/float64(l.granted.Load()))
}

// storedBytes returns the bytes of all values in the store.
func storedBytes(kv *standinplatform.Store) float64 {
	listing, err := kv.List(context.Background(), "")
	if err != nil {
		panic(err)
	}
	var bytes float64
	for _, item := range listing.Items {
		bytes += float64(len(item.Value))
	}
	return bytes
}
