package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// worker sends one request after another. Only its own goroutine touches its
// counts; next is shared.
type worker struct {
	plan      *Plan
	start     time.Time
	next      *atomic.Int64
	histogram *hdrhistogram.Histogram
	completed int
	refused   int
	broken    int
	misses    []Miss
}

func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		i := int(w.next.Add(1)) - 1
		if i >= w.plan.Count {
			return
		}
		due := time.Now()
		if w.plan.Rate > 0 {
			due = w.start.Add(time.Duration(float64(i) / w.plan.Rate * float64(time.Second)))
			if !sleepUntil(ctx, due) {
				return
			}
		}
		w.count(i, due, ask(ctx, w.plan, i))
	}
}

func (w *worker) count(i int, due time.Time, a answer) {
	took := time.Since(due)
	switch {
	case a.err != nil:
		w.broken++
	case isGood(a.status):
		w.completed++
	default:
		w.refused++
	}
	if (a.err != nil || !isGood(a.status)) && len(w.misses) < maxMisses {
		w.misses = append(w.misses, Miss{Index: i, Due: due, Took: took, Status: a.status, Outcome: a.outcome, Body: a.body, Err: a.err})
	}
	_ = w.histogram.RecordValue(min(max(took.Microseconds(), 1), highestMicros)) // within the range
}

// sleepUntil reports whether the time came before ctx ended.
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
