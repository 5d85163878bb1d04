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

// Timing and bounds of the connections to one instance.
const (
	connectTimeout     = time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 64
)

// endpoint holds the connections to one instance: kept ones, and fresh ones
// that serve a single request. probing is true while a probe is under way.
type endpoint struct {
	address string
	kept    *http.Transport
	fresh   *http.Transport
	probing *shard.Cell[bool]
}

func newEndpoint(address string, clock clockwork.Clock) *endpoint {
	return &endpoint{
		address: address,
		kept:    newTransport(clock, false),
		fresh:   newTransport(clock, true),
		probing: shard.NewCell(false),
	}
}

func newTransport(clock clockwork.Clock, single bool) *http.Transport {
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
		DisableKeepAlives:   single,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// suspect probes the instance over a fresh connection, unless a probe is under
// way. When that answers within limit, the kept connections may have gone
// silent: all that are idle are closed.
func (e *endpoint) suspect(ctx context.Context, probes *sync.WaitGroup, limit time.Duration) {
	if !e.probing.Update(func(probing bool) (bool, bool) { return true, !probing }) {
		return
	}
	probes.Go(func() {
		defer e.probing.Update(func(bool) (bool, bool) { return false, true })
		if e.answers(ctx, limit) {
			e.kept.CloseIdleConnections()
		}
	})
}

// answers reports whether the instance answers a fresh connection within
// limit. The probe is OPTIONS *, which asks for no work.
func (e *endpoint) answers(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	probe := (&http.Request{
		Method: http.MethodOptions,
		URL:    &url.URL{Scheme: "http", Host: e.address, Opaque: "*"},
		Host:   e.address,
		Header: http.Header{},
	}).WithContext(ctx)
	response, err := e.fresh.RoundTrip(probe)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	_ = response.Body.Close()
	return true
}

// maxProbeBytes is how much of the answer to a probe is read.
const maxProbeBytes = 4 << 10

func (e *endpoint) close() {
	e.kept.CloseIdleConnections()
	e.fresh.CloseIdleConnections()
}
