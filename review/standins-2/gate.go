package main

import (
	"net/http"
	"sync"
)

// gate is the network path between one process and a server. While it is cut, requests
// and responses on it are held up, and are lost when the cut ends.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // nil: not cut; else closed when the cut ends
}

// cut cuts the path until heal.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(chan struct{})
	}
}

// heal ends a cut.
func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

// pass returns if the path is whole. Otherwise it waits for the end of the cut, and the
// connection breaks.
func (g *gate) pass(r *http.Request) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open == nil {
		return
	}
	select {
	case <-open:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// wrap puts the gate before a server.
func (g *gate) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.pass(r)
		held := &heldResponse{header: http.Header{}, status: http.StatusOK}
		h.ServeHTTP(held, r)
		g.pass(r)
		held.send(w)
	})
}
