package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// Offered load: an open loop, whose rate does not depend on responses.
const (
	claimsPerSecond = 5000
	claimTick       = 2 * time.Millisecond
	claimWarmUp     = 500 * time.Millisecond
	claimPhase      = 3 * time.Second
	claimDeadline   = time.Second
	answerBytes     = 200
)

// claimLoad sends claims to ledgers in turn at a fixed rate. mu guards latency.
type claimLoad struct {
	ledgers []request.Ledger
	rate    int // claims per second
	answer  int // bytes of each answer
	granted atomic.Int64
	failed  atomic.Int64
	mu      sync.Mutex
	latency *hdrhistogram.Histogram // of granted claims, in microseconds
}

func newClaimLoad(ledgers []request.Ledger, rate int) *claimLoad {
	return &claimLoad{ledgers: ledgers, rate: rate, answer: answerBytes, latency: hdrhistogram.New(1, 10_000_000, 3)}
}

// run offers claims for d and returns when all have been answered.
func (l *claimLoad) run(d time.Duration) {
	var group sync.WaitGroup
	start := time.Now()
	offered := 0
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	for time.Since(start) < d {
		<-ticker.C
		for due := int(time.Since(start).Seconds() * float64(l.rate)); offered < due; offered++ {
			ledger := l.ledgers[offered%len(l.ledgers)]
			group.Go(func() { l.claim(ledger) })
		}
	}
	group.Wait()
}

// claim claims a new key and, when granted, completes it.
func (l *claimLoad) claim(ledger request.Ledger) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	deadline := time.Now().Add(claimDeadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	r := &request.Request{ID: uuid.NewString(), Key: request.Key(key.String()), Service: "transfers", Method: "POST", Path: "/transfers", Body: []byte("one flock"), Deadline: deadline}
	start := time.Now()
	claim, err := ledger.Claim(ctx, r)
	took := time.Since(start)
	if err != nil || claim.State != request.ClaimGranted {
		l.failed.Add(1)
		return
	}
	l.granted.Add(1)
	l.mu.Lock()
	_ = l.latency.RecordValue(took.Microseconds())
	l.mu.Unlock()
	ledger.Complete(context.Background(), r, request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 200, Body: make([]byte, l.answer)}})
}

// report prints rates and latencies of a phase of the given duration.
func (l *claimLoad) report(name string, elapsed time.Duration, writes, reads int64) {
	seconds := elapsed.Seconds()
	fmt.Printf("%-44s %6.0f claims/s %5.0f failed/s %6.0f writes/s %5.0f reads/s  p50 %7v p99 %7v\n", name,
		float64(l.granted.Load())/seconds, float64(l.failed.Load())/seconds, float64(writes)/seconds, float64(reads)/seconds,
		l.quantile(50), l.quantile(99))
}

// quantile returns a percentile of the latency of granted claims.
func (l *claimLoad) quantile(q float64) time.Duration {
	return time.Duration(l.latency.ValueAtQuantile(q)) * time.Microsecond
}
