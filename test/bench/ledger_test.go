package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/request"
	standinplatform "persimmonbay/internal/standin/platform"
)

// batchWrites is the number of writes per second that the ledger's batches may
// take of the platform's limit; writes of segments and deletions are extra.
const batchWrites = 133

// BenchmarkLedger sends claims to the ledgers of one, three and six entries, all
// in this process, at several latencies of the store, and prints claims, platform
// calls and latency. For comparison it measures one unbatched write per claim.
func BenchmarkLedger(b *testing.B) {
	for _, latency := range []time.Duration{2 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		for _, entries := range []int{1, 3, 6} {
			for _, shards := range []int{1, 2, 4} {
				b.Run(fmt.Sprintf("store=%v/entries=%d/shards=%d", latency, entries, shards), func(b *testing.B) {
					for range b.N {
						measureLedger(entries, shards, latency)
					}
				})
			}
		}
		b.Run(fmt.Sprintf("store=%v/one-write-a-claim", latency), func(b *testing.B) {
			for range b.N {
				measureUnbatched(latency)
			}
		})
	}
}

func measureLedger(entries, shards int, latency time.Duration) {
	store := newSlowStore(standinplatform.NewStore(clockwork.NewRealClock()), latency)
	all := map[string]*ledger.Ledger{}
	var live []string
	var ledgers []request.Ledger
	for i := range entries {
		live = append(live, fmt.Sprintf("entry-%d", i+1))
	}
	for _, id := range live {
		options := ledger.DefaultOptions(id)
		options.Shards, options.Interval = shards, time.Duration(shards)*time.Second/batchWrites
		all[id] = ledger.New(ledgerstore.New(store), largeAnswers(store), &inProcessPeers{live: live, all: all}, clockwork.NewRealClock(), options)
		ledgers = append(ledgers, all[id])
	}
	measureClaims(fmt.Sprintf("store %v, %d entries, %d shards", latency, entries, shards), ledgers, store)
}

// largeAnswers returns the storage of answers too large for the log, in store.
func largeAnswers(store *slowStore) *ledgerstore.Answers {
	return ledgerstore.NewAnswers(store, store.lessor, clockwork.NewRealClock())
}

func measureUnbatched(latency time.Duration) {
	store := newSlowStore(standinplatform.NewStore(clockwork.NewRealClock()), latency)
	measureClaims(fmt.Sprintf("store %v, one write a claim", latency), []request.Ledger{&unbatchedLedger{store: store}}, store)
}

func measureClaims(name string, ledgers []request.Ledger, store *slowStore) {
	newClaimLoad(ledgers, claimsPerSecond).run(claimWarmUp)
	l := newClaimLoad(ledgers, claimsPerSecond)
	writes, reads, start := store.writes.Load(), store.reads.Load(), time.Now()
	l.run(claimPhase)
	l.report(name, time.Since(start), store.writes.Load()-writes, store.reads.Load()-reads)
}
