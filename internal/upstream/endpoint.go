package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/shard"
)

// Limits of the connections to one instance.
const (
	connectTimeout     = time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 64
)

// endpoint manages the connections to one instance: pooled ones, which serve
// several requests, and fresh ones, which serve one. probing is true while a
// probe runs.
type endpoint struct {
	address string
	pooled  *http.Transport
	fresh   *http.Transport
	probing *shard.Cell[bool]
}

func newEndpoint(address string, clock clockwork.Clock) *endpoint {
	return &endpoint{
		address: address,
		pooled:  newTransport(clock, false),
		fresh:   newTransport(clock, true),
		probing: shard.NewCell(false),
	}
}

func newTransport(clock clockwork.Clock, singleUse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c, clock: clock}, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   singleUse,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// checkConnections probes the instance on a fresh connection, unless a probe is
// running. When the instance answers within limit, pooled connections may be
// dead, and all idle ones are closed.
func (e *endpoint) checkConnections(ctx context.Context, probes *sync.WaitGroup, limit time.Duration) {
	if !e.probing.Update(func(probing bool) (bool, bool) { return true, !probing }) {
		return
	}
	probes.Go(func() {
		defer e.probing.Update(func(bool) (bool, bool) { return false, true })
		if e.probe(ctx, limit) {
			e.pooled.CloseIdleConnections()
		}
	})
}

// probe reports whether the instance answers on a fresh connection within limit.
// The request is OPTIONS *, which causes no work on the upstream.
func (e *endpoint) probe(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := (&http.Request{
		Method: http.MethodOptions,
		URL:    &url.URL{Scheme: "http", Host: e.address, Opaque: "*"},
		Host:   e.address,
		Header: http.Header{},
	}).WithContext(ctx)
	response, err := e.fresh.RoundTrip(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	_ = response.Body.Close()
	return true
}

// maxProbeBytes is how much of the body of a probe's answer is read.
const maxProbeBytes = 4 << 10

// close closes the idle connections.
func (e *endpoint) close() {
	e.pooled.CloseIdleConnections()
	e.fresh.CloseIdleConnections()
}
