package bench

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/peer"
	"persimmonbay/internal/request"
	standinplatform "persimmonbay/internal/standin/platform"
)

// forwardingEntries is the number of ledgers that share the claims.
const forwardingEntries = 3

// forwardingRates are the claims per second offered to all ledgers together.
var forwardingRates = []int{50, 200, 1000, claimsPerSecond}

// BenchmarkForwardedClaims sends claims to the ledgers of three entries that
// forward them over yamux sessions, all in this process, and prints latency, and
// calls between entries and processor time per claim.
func BenchmarkForwardedClaims(b *testing.B) {
	for _, latency := range []time.Duration{2 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		for _, rate := range forwardingRates {
			b.Run(fmt.Sprintf("store=%v/rate=%d", latency, rate), func(b *testing.B) {
				for range b.N {
					measureForwarded(b, latency, rate)
				}
			})
		}
	}
}

func measureForwarded(b *testing.B, latency time.Duration, rate int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calls atomic.Int64
	store := newSlowStore(standinplatform.NewStore(clockwork.NewRealClock()), latency)
	ledgers := startLedgers(ctx, b, store, &calls)
	newClaimLoad(ledgers, rate).run(claimWarmUp)
	l := newClaimLoad(ledgers, rate)
	writes, reads, called := store.writes.Load(), store.reads.Load(), calls.Load()
	start, used := time.Now(), processorTime(b)
	l.run(claimPhase)
	elapsed, cpu := time.Since(start), processorTime(b)-used
	l.report(fmt.Sprintf("store %v, %d claims/s offered", latency, rate), elapsed, store.writes.Load()-writes, store.reads.Load()-reads)
	granted := max(l.granted.Load(), 1)
	fmt.Printf("%-44s %6.2f calls and %.0f µs of processor time a claim\n", "", float64(calls.Load()-called)/float64(granted),
		float64(cpu.Microseconds())/float64(granted))
}

// startLedgers starts ledgers that serve each other over yamux until ctx ends.
func startLedgers(ctx context.Context, b *testing.B, store *slowStore, calls *atomic.Int64) []request.Ledger {
	var live []string
	addresses := map[string]string{}
	listeners := map[string]net.Listener{}
	for i := range forwardingEntries {
		id := fmt.Sprintf("entry-%d", i+1)
		live = append(live, id)
		listeners[id] = listen(b)
		addresses[id] = listeners[id].Addr().String()
	}
	key := []byte("bench-peer-key-0123")
	var ledgers []request.Ledger
	for _, id := range live {
		peers := &sessionPeers{client: peer.NewClient(id, key, 2*time.Second), live: live, addresses: addresses, calls: calls}
		peers.own = ledger.New(ledgerstore.New(store), largeAnswers(store), peers, clockwork.NewRealClock(), ledger.DefaultOptions(id))
		ledgers = append(ledgers, peers.own)
		go func() { _ = peer.NewServer(peers, key, zap.NewNop()).Serve(ctx, listeners[id]) }()
	}
	return ledgers
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
