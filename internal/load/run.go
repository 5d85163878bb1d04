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
		result.Latency.Merge(workers[i].histogram)
	}
	return result
}

// ask sends one request and reads its answer whole.
func ask(ctx context.Context, p *Plan, i int) (status int, err error) {
	request, err := p.Request(i)
	if err != nil {
		return 0, err
	}
	if p.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Timeout)
		defer cancel()
	}
	response, err := p.Client.Do(request.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func isGood(status int) bool { return status >= http.StatusOK && status < http.StatusMultipleChoices }
