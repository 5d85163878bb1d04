package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Timing and bounds of the connections to one instance.
const (
	connectTimeout     = time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 64
)

// endpoint holds the connections to one instance.
type endpoint struct {
	transport *http.Transport
}

func newEndpoint() *endpoint {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &endpoint{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}

func (e *endpoint) close() { e.transport.CloseIdleConnections() }
