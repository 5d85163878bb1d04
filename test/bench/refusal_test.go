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

// What a flood is made of, and the requests of the flooding team that are
// refused in it.
const (
	floodService  = 400 // requests a second that the upstream takes: 8 slots of 20 ms
	floodSlow     = 20  // milliseconds of work on each request
	floodWorkers  = 1000
	floodFor      = 4 // seconds
	probeEvery    = 5 * time.Millisecond
	probeTimeout  = 30 // milliseconds; a queued request has no chance in it
	longestMicros = int64(10 * time.Second / time.Microsecond)
)

// BenchmarkRefusal floods an entry at so many times what its upstream takes and
// measures, from the caller's side, how long refusals take meanwhile. Callers,
// entry and upstream share this process.
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
	_, callers := startOneWith(ctx, b, standinupstream.Faults{SlowMillis: floodSlow})
	url := "http://" + callers + "/tags/8812"
	flood := plan(url, floodWorkers, times*floodService*floodFor, float64(times*floodService))
	done := make(chan load.Result, 1)
	go func() { done <- load.Run(ctx, flood) }()
	refused := hdrhistogram.New(1, longestMicros, 3)
	client, tick := &http.Client{Transport: &http.Transport{}}, time.NewTicker(probeEvery)
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
		case ok && took >= probeTimeout*time.Millisecond:
			waited++ // until its deadline: it was queued
		case ok:
			_ = refused.RecordValue(min(took.Microseconds(), longestMicros)) // within the range
		default:
			others++
		}
	}
}

// probe sends one request that the flooding team has no time left for, and
// tells how long its refusal took, or false when it was not refused.
func probe(b *testing.B, client *http.Client, url string) (time.Duration, bool) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Persimmonbay-Team", "herders")
	request.Header.Set("Persimmonbay-Timeout", strconv.Itoa(probeTimeout))
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	took, header := time.Since(start), response.Header
	told := header.Get("Retry-After") != "" && header.Get("Persimmonbay-Outcome") == "not-run"
	return took, told && response.StatusCode == http.StatusTooManyRequests
}
