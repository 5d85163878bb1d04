package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// adviser is the advice service, as one calling machine meets it: it handles that
// machine's calls in turn. It may run a step on all machines but one.
type adviser struct {
	f       *floor
	turn    sync.Mutex
	waiting atomic.Int64
}

// Times of the advice service.
const (
	decideTime = 50 * time.Millisecond // decide_ms
	periodTime = 5 * time.Millisecond  // period_ms
	ticketTime = 3 * time.Second       // valid_ms
	maxWaiting = 32
)

func (a *adviser) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/advise", func(w http.ResponseWriter, r *http.Request) {
		if a.waiting.Add(1) > maxWaiting {
			a.waiting.Add(-1)
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		b := body(r)
		a.turn.Lock()
		a.waiting.Add(-1)
		defer a.turn.Unlock()
		if r.Context().Err() != nil {
			return // the caller has gone
		}
		time.Sleep(decideTime + time.Duration(len(b.rows("workers")))*periodTime)
		granted := list{}
		a.f.mu.Lock()
		for _, id := range b.rows("workers") {
			runner := a.f.runners[id.(string)]
			if runner == nil || strings.HasSuffix(runner.machine, "1") {
				continue
			}
			ticket := fmt.Sprintf("t-%06d", len(a.f.tickets))
			a.f.tickets[ticket] = ticketInfo{step: b.text("phase"), runner: runner, until: time.Now().Add(ticketTime)}
			granted = append(granted, list{runner.id, ticket})
		}
		a.f.mu.Unlock()
		note("advice for %s: %d named, %d granted", b.text("phase"), len(b.rows("workers")), len(granted))
		respond(w, http.StatusOK, object{"granted": granted, "valid_ms": ticketTime.Milliseconds()})
	})
	return m
}
