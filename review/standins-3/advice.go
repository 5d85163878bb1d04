package main

import (
	"net/http"
	"sync"
	"time"
)

// adviceService stands in for the service that knows which runners may run a step. It handles
// one call at a time for each calling machine, in turn. mu guards all fields.
type adviceService struct {
	world   *world
	decide  time.Duration
	period  time.Duration // for each runner named
	valid   time.Duration
	allowed func(step, runner string) bool

	mu      sync.Mutex
	turns   map[string]*sync.Mutex // by calling machine
	waiting int
	tickets map[string]ticket
}

const mostWaiting = 32

// handler returns the handler for the calls of one machine.
func (a *adviceService) handler(caller string) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/advise", func(w http.ResponseWriter, r *http.Request) { a.advise(caller, w, r) })
	return m
}

func (a *adviceService) advise(caller string, w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"phase"`
		Workers []string `json:"workers"`
	}
	if !readBody(w, r, &b) {
		return
	}
	if len(b.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= mostWaiting {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	if a.turns[caller] == nil {
		a.turns[caller] = &sync.Mutex{}
	}
	turn := a.turns[caller]
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(a.decide + time.Duration(len(b.Workers))*a.period)
	turn.Unlock()
	granted := [][]string{}
	a.mu.Lock()
	a.waiting--
	for _, id := range b.Workers {
		n := a.world.runner(id)
		if n == nil || !a.allowed(b.Step, id) {
			continue
		}
		n.mu.Lock()
		born := n.born
		n.mu.Unlock()
		text := b.Step + "/" + id + "/" + time.Now().Format("150405.000000")
		a.tickets[text] = ticket{step: b.Step, runner: id, born: born, ends: time.Now().Add(a.valid)}
		granted = append(granted, []string{id, text})
	}
	a.mu.Unlock()
	a.world.record.line("advice for %s: %d runners named, %d granted", b.Step, len(b.Workers), len(granted))
	reply(w, http.StatusOK, map[string]any{"granted": granted, "valid_ms": a.valid.Milliseconds()})
}

// accepts reports whether a start with the ticket is accepted by a life of a runner.
func (a *adviceService) accepts(text, step, runner string, born time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, known := a.tickets[text]
	return known && t.step == step && t.runner == runner && t.born.Equal(born) && time.Now().Before(t.ends)
}
