package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonbay/internal/load"
	standinupstream "persimmonbay/internal/standin/upstream"
)

// Load of the flood, and of the flooding team's probes that are refused meanwhile.
const (
	floodCapacity      = 400 // requests per second of the upstream: 8 slots, 20 ms of work
	floodWorkMillis    = 20  // of work on each request
	floodWorkers       = 1000
	floodSeconds       = 4
	probeInterval      = 5 * time.Millisecond
	probeTimeoutMillis = 30 // too short for a request that is queued in the flood
	maxLatencyMicros   = int64(10 * time.Second / time.Microsecond)
)

// BenchmarkRefusal floods an entry at a multiple of its upstream's capacity and
// measures the latency of refusals at the caller meanwhile. Callers, entry and
// upstream share this process.
func BenchmarkRefusal(b *testing.B) {
	for _, times := range []int{2, 5, 20} {
		b.Run(fmt.Sprintf("flood=%dx", times), func(b *testing.B) {
			for range b.N {
				refusals(b, times)
			}
		})
	}
}

func refusals(b *testing.B, times int) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	_, callers := startOneWith(ctx, b, standinupstream.Faults{SlowMillis: floodWorkMillis})
	url := "http://" + callers + "/tags/8812"
	flood := plan(url, floodWorkers, times*floodCapacity*floodSeconds, float64(times*floodCapacity))
	done := make(chan load.Result, 1)
	go func() { done <- load.Run(ctx, flood) }()
	refused := hdrhistogram.New(1, maxLatencyMicros, 3)
	client, tick := &http.Client{Transport: &http.Transport{}}, time.NewTicker(probeInterval)
	defer tick.Stop()
	others, waited := 0, 0
	for {
		select {
		case result := <-done:
			b.ReportMetric(float64(refused.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(refused.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(refused.Max())/1000, "max-ms")
			b.ReportMetric(float64(refused.TotalCount()), "refused")
			b.ReportMetric(float64(waited), "refused-at-deadline")
			b.ReportMetric(float64(others), "others")
			b.ReportMetric(float64(result.Refused), "flood-refused")
			return
		case <-tick.C:
		}
		took, ok := probe(b, client, url)
		switch {
		case ok && took >= probeTimeoutMillis*time.Millisecond:
			waited++ // it was queued until its deadline
		case ok:
			_ = refused.RecordValue(min(took.Microseconds(), maxLatencyMicros)) // clamped to the histogram's range
		default:
			others++
		}
	}
}

// probe sends one request with a timeout too short for the flooding team's queue.
// It returns the time to the response, and whether that is a complete refusal.
func probe(b *testing.B, client *http.Client, url string) (time.Duration, bool) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Persimmonbay-Team", "herders")
	request.Header.Set("Persimmonbay-Timeout", strconv.Itoa(probeTimeoutMillis))
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	took, header := time.Since(start), response.Header
	complete := header.Get("Retry-After") != "" && header.Get("Persimmonbay-Outcome") == "not-run"
	return took, complete && response.StatusCode == http.StatusTooManyRequests
}
