package test

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// backend is an entry behind the balancer, with its latest readiness.
type backend struct {
	callers  *url.URL
	operator string
	ready    atomic.Bool
}

// probe reads the entry's readiness every probeInterval until ctx ends.
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
