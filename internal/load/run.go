package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latencies.
const (
	highestMicros     = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Run offers the plan's load and returns when all requests have ended or ctx
// has. At a rate, latency counts from the time at which a request was due, so
// that a slow answer is not hidden by the requests that waited behind it.
func Run(ctx context.Context, p Plan) Result {
	var next atomic.Int64
	workers := make([]worker, max(p.Workers, 1))
	for i := range workers {
		workers[i] = worker{plan: &p, next: &next, histogram: hdrhistogram.New(1, highestMicros, significantDigits)}
	}
	start := time.Now() // after the histograms, which take milliseconds to make
	var running sync.WaitGroup
	for i := range workers {
		workers[i].start = start
		running.Go(func() { workers[i].run(ctx) })
	}
	running.Wait()
	result := Result{Elapsed: time.Since(start), Latency: hdrhistogram.New(1, highestMicros, significantDigits)}
	for i := range workers {
		result.Completed += workers[i].completed
		result.Refused += workers[i].refused
		result.Broken += workers[i].broken
		result.Misses = append(result.Misses, workers[i].misses...)
		result.Latency.Merge(workers[i].histogram)
	}
	return result
}

// ask sends one request, reads its answer whole and returns what came of it.
func ask(ctx context.Context, p *Plan, i int) answer {
	request, err := p.Request(i)
	if err != nil {
		return answer{err: err}
	}
	if p.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Timeout)
		defer cancel()
	}
	response, err := p.Client.Do(request.WithContext(ctx))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, outcome: response.Header.Get("Persimmonbay-Outcome")}
	if !isGood(a.status) {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(response.Body, maxMissBody))
		a.body = string(body)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	a.err = err
	return a
}

func isGood(status int) bool { return status >= http.StatusOK && status < http.StatusMultipleChoices }
