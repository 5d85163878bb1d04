package test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pollEvery is the time between two looks at an entry.
const pollEvery = 5 * time.Millisecond

// versionWatch polls entries throughout a spec and notes every step from a
// newer version to an older. mu guards reverts and looks.
type versionWatch struct {
	mu      sync.Mutex
	reverts []string
	looks   int
	stop    context.CancelFunc
	polls   sync.WaitGroup
	ctx     context.Context
}

// watchVersions starts a watch; the spec fails at its end if a version was
// seen to go back.
func watchVersions(operators ...string) *versionWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &versionWatch{ctx: ctx, stop: stop}
	for _, o := range operators {
		w.add(o)
	}
	DeferCleanup(w.check)
	return w
}

// add watches one process more.
func (w *versionWatch) add(operator string) { w.polls.Go(func() { w.poll(operator) }) }

func (w *versionWatch) poll(operator string) {
	var newest uint64
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		if v := versionInForce(w.ctx, operator); v != 0 {
			w.note(operator, newest, v)
			newest = max(newest, v)
		}
		select {
		case <-ticker.C:
		case <-w.ctx.Done():
			return
		}
	}
}

func (w *versionWatch) note(operator string, newest, v uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if v < newest {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from %d to %d", operator, newest, v))
	}
}

func (w *versionWatch) check() {
	w.stop()
	w.polls.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	Expect(w.looks).NotTo(BeZero())
	Expect(w.reverts).To(BeEmpty())
}
