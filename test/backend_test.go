package test

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// backend is an entry as the balancer sees it.
type backend struct {
	callers  *url.URL
	operator string
	ready    atomic.Bool
}

// probe asks until ctx ends whether the entry is ready.
func (e *backend) probe(ctx context.Context) {
	ticks := time.NewTicker(probeInterval)
	defer ticks.Stop()
	for {
		response, err := http.Get("http://" + e.operator + "/-/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		e.ready.Store(err == nil && response.StatusCode == http.StatusOK)
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}
