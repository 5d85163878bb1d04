package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sender sends one request after another. Its counts belong to its own goroutine;
// next, the index of the next request, is shared by all senders.
type sender struct {
	plan      *Plan
	start     time.Time
	next      *atomic.Int64
	histogram *hdrhistogram.Histogram
	completed int
	refused   int
	broken    int
	failures  []Failure
}

func (s *sender) run(ctx context.Context) {
	for ctx.Err() == nil {
		i := int(s.next.Add(1)) - 1
		if i >= s.plan.Count {
			return
		}
		due := time.Now()
		if s.plan.Rate > 0 {
			due = s.start.Add(time.Duration(float64(i) / s.plan.Rate * float64(time.Second)))
			if !sleepUntil(ctx, due) {
				return
			}
		}
		s.count(i, due, send(ctx, s.plan, i))
	}
}

func (s *sender) count(i int, due time.Time, r reply) {
	took := time.Since(due)
	switch {
	case r.err != nil:
		s.broken++
	case isGood(r.status):
		s.completed++
	default:
		s.refused++
	}
	if (r.err != nil || !isGood(r.status)) && len(s.failures) < maxFailures {
		s.failures = append(s.failures, Failure{Index: i, Due: due, Took: took, Status: r.status, Outcome: r.outcome, Body: r.body, Err: r.err})
	}
	_ = s.histogram.RecordValue(min(max(took.Microseconds(), 1), highestMicros)) // cannot fail: the value is within the range
}

// sleepUntil waits until due and reports whether ctx has not ended by then.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
