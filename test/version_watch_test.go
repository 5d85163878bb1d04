package test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pollInterval is the time between two polls of an entry.
const pollInterval = 5 * time.Millisecond

// versionWatch polls entries throughout a spec and records every change from a
// newer version to an older one. mu guards reverts and samples.
type versionWatch struct {
	mu      sync.Mutex
	reverts []string
	samples int
	stop    context.CancelFunc
	polls   sync.WaitGroup
	ctx     context.Context
}

// watchVersions starts a watch. When the spec ends, it fails if an entry went
// back to an older version.
func watchVersions(operators ...string) *versionWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &versionWatch{ctx: ctx, stop: stop}
	for _, o := range operators {
		w.add(o)
	}
	DeferCleanup(w.check)
	return w
}

// add watches one more entry.
func (w *versionWatch) add(operator string) { w.polls.Go(func() { w.poll(operator) }) }

func (w *versionWatch) poll(operator string) {
	var newest uint64
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if v := versionInForce(w.ctx, operator); v != 0 {
			w.record(operator, newest, v)
			newest = max(newest, v)
		}
		select {
		case <-ticker.C:
		case <-w.ctx.Done():
			return
		}
	}
}

func (w *versionWatch) record(operator string, newest, v uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	if v < newest {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from %d to %d", operator, newest, v))
	}
}

func (w *versionWatch) check() {
	w.stop()
	w.polls.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	Expect(w.samples).NotTo(BeZero())
	Expect(w.reverts).To(BeEmpty())
}
