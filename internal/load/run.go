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

// Upper bound of recorded latencies in microseconds, and their precision in
// decimal digits.
const (
	highestMicros     = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Run sends the plan's requests and returns when all have ended or ctx has. At a
// rate, the latency of a request counts from the time at which it was due, so
// that the wait behind a slow response is counted too.
func Run(ctx context.Context, p Plan) Result {
	var next atomic.Int64
	senders := make([]sender, max(p.Senders, 1))
	for i := range senders {
		senders[i] = sender{plan: &p, next: &next, histogram: hdrhistogram.New(1, highestMicros, significantDigits)}
	}
	start := time.Now() // after the creation of the histograms, which takes milliseconds
	var running sync.WaitGroup
	for i := range senders {
		senders[i].start = start
		running.Go(func() { senders[i].run(ctx) })
	}
	running.Wait()
	result := Result{Elapsed: time.Since(start), Latency: hdrhistogram.New(1, highestMicros, significantDigits)}
	for i := range senders {
		result.Completed += senders[i].completed
		result.Refused += senders[i].refused
		result.Broken += senders[i].broken
		result.Failures = append(result.Failures, senders[i].failures...)
		result.Latency.Merge(senders[i].histogram)
	}
	return result
}

// send sends the i-th request of p, reads the whole response and returns the
// result.
func send(ctx context.Context, p *Plan, i int) reply {
	request, err := p.Request(i)
	if err != nil {
		return reply{err: err}
	}
	if p.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Timeout)
		defer cancel()
	}
	response, err := p.Client.Do(request.WithContext(ctx))
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode, outcome: response.Header.Get("Persimmonbay-Outcome")}
	if !isGood(r.status) {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(response.Body, maxFailureBody))
		r.body = string(body)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	r.err = err
	return r
}

func isGood(status int) bool { return status >= http.StatusOK && status < http.StatusMultipleChoices }
