package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/entry"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/load"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/settings"
	standinplatform "persimmonbay/internal/standin/platform"
	standinupstream "persimmonbay/internal/standin/upstream"
)

// Load of requests with an Idempotency-Key.
const (
	keyedRate    = 1000 // requests per second
	keyedCount   = 6000
	keyedWorkers = 256
	keyedEntries = 3
)

// BenchmarkKeyedRequests sends requests with and without an Idempotency-Key
// through three entries over HTTP and yamux, all in this process, and prints the
// latencies of both and the ledger's calls to the platform.
func BenchmarkKeyedRequests(b *testing.B) {
	for _, slow := range []int{2, 5, 20} {
		b.Run(fmt.Sprintf("store=%dms", slow), func(b *testing.B) {
			for range b.N {
				measureKeyed(b, slow)
			}
		})
	}
}

func measureKeyed(b *testing.B, slow int) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	entries := startSeveral(ctx, b, slow)
	measureRequests(ctx, entries, keyedCount/4, true) // opens the connections
	plain := measureRequests(ctx, entries, keyedCount, false)
	before, start := ledgerCalls(b, entries), time.Now()
	keyed := measureRequests(ctx, entries, keyedCount, true)
	seconds := time.Since(start).Seconds()
	calls := ledgerCalls(b, entries)
	fmt.Printf("store %d ms: plain p50 %v p99 %v; keyed p50 %v p99 %v (%d completed, %d refused, %d broken), %.0f/s, ledger %.0f writes/s %.0f reads/s\n", slow,
		plain.Quantile(50), plain.Quantile(99), keyed.Quantile(50), keyed.Quantile(99), keyed.Completed, keyed.Refused, keyed.Broken,
		keyed.Throughput(), (calls["write"]-before["write"])/seconds, (calls["read"]-before["read"])/seconds)
}

func measureRequests(ctx context.Context, entries []*entry.Entry, count int, keyed bool) load.Result {
	return load.Run(ctx, load.Plan{
		Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keyedWorkers}},
		Senders: keyedWorkers, Rate: keyedRate, Count: count,
		Request: func(i int) (*http.Request, error) {
			url := "http://" + entries[i%len(entries)].Addresses().Callers + "/transfers/transfers"
			if !keyed {
				return teamRequest(http.MethodGet, url)
			}
			r, err := teamRequest(http.MethodPost, url)
			if err == nil {
				r.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
			}
			return r, err
		},
	})
}

func teamRequest(method, url string) (*http.Request, error) {
	r, err := http.NewRequest(method, url, strings.NewReader("one flock"))
	if err == nil {
		r.Header.Set("Persimmonbay-Team", "herders")
	}
	return r, err
}

// ledgerCalls returns the number of platform calls by all entries' ledgers, by
// kind.
func ledgerCalls(b *testing.B, entries []*entry.Entry) map[string]float64 {
	calls := map[string]float64{}
	for _, e := range entries {
		response, err := http.Get("http://" + e.Addresses().Operators + "/debug/vars")
		if err != nil {
			b.Fatal(err)
		}
		var vars struct {
			Entry struct {
				PlatformCalls []platform.CallCount `json:"platformCalls"`
			} `json:"entry"`
		}
		if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
		for _, c := range vars.Entry.PlatformCalls {
			if c.Purpose == platform.PurposeLedger {
				calls[c.Kind] += float64(c.Calls)
			}
		}
	}
	return calls
}

// startSeveral starts a platform, one upstream and keyedEntries entries in this
// process, and then sets the platform's latency to slow milliseconds.
func startSeveral(ctx context.Context, b *testing.B, slow int) []*entry.Entry {
	clock := clockwork.NewRealClock()
	p := standinplatform.NewServer(clock)
	platformListener, upstreamListener := listen(b), listen(b)
	go func() { _ = http.Serve(platformListener, p.Handler()) }()
	instance := fleet.Instance{ID: "transfers-1", Kind: fleet.KindUpstream, Service: "transfers", Address: upstreamListener.Addr().String(), AvailabilityZone: "az-1", Rack: "rack-1", State: fleet.Live}
	p.Instances.Put(instance)
	go func() { _ = standinupstream.NewServer(instance, fullWorkers, clock).Serve(ctx, upstreamListener) }()
	apply(ctx, b, p, clock)
	var entries []*entry.Entry
	for i := range keyedEntries {
		s := settings.DefaultEntry()
		s.ID, s.AvailabilityZone, s.Platform.Address = fmt.Sprintf("entry-%d", i+1), "az-1", "http://"+platformListener.Addr().String()
		s.Secrets = settings.Secrets{PeerKey: "bench-peer-key-0123", OperatorToken: "bench-operator-token"}
		s.Membership.Heartbeat, s.Limits.ShutdownNotice = 100*time.Millisecond, 0
		e, err := entry.New(s, clock, zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = e.Run(ctx) }()
		entries = append(entries, e)
	}
	for _, e := range entries {
		for e.Ready() != nil || len(e.Instances()) == 0 || len(e.Status().Entries) < keyedEntries {
			time.Sleep(time.Millisecond)
		}
	}
	p.SetFaults(standinplatform.Faults{SlowMillis: slow})
	return entries
}
