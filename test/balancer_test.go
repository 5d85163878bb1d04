package test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// probeInterval is the time between two readiness probes of an entry.
const probeInterval = 20 * time.Millisecond

// balancer forwards each request to the next entry whose latest probe reported
// ready, as the platform's load balancer does. It never retries a request.
type balancer struct {
	backends []atomic.Pointer[backend] // one per entry
	next     atomic.Int64
	proxy    httputil.ReverseProxy
	server   *httptest.Server
}

func startBalancer(entries int) *balancer {
	b := &balancer{backends: make([]atomic.Pointer[backend], entries)}
	b.proxy = httputil.ReverseProxy{
		Rewrite:        func(r *httputil.ProxyRequest) { r.SetURL(r.In.Context().Value(b).(*url.URL)) },
		Transport:      &http.Transport{MaxIdleConnsPerHost: 64},
		ErrorHandler:   reportBroken,
		ModifyResponse: reportRefused,
	}
	b.server = httptest.NewServer(b)
	DeferCleanup(b.server.Close)
	return b
}

// put makes an entry the i-th backend, in place of the former one.
func (b *balancer) put(i int, callers, operator string) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	target, _ := url.Parse(callers)
	e := &backend{callers: target, operator: operator}
	go e.probe(ctx)
	b.backends[i].Store(e)
}

// ServeHTTP implements http.Handler.
func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first := int(b.next.Add(1))
	for i := range b.backends {
		e := b.backends[(first+i)%len(b.backends)].Load()
		if e.ready.Load() {
			b.proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), b, e.callers)))
			return
		}
	}
	GinkgoWriter.Println("balancer: no entry is ready")
	http.Error(w, "no entry is ready", http.StatusServiceUnavailable)
}

// reportBroken logs a request whose connection to the entry failed, and answers
// 502.
func reportBroken(w http.ResponseWriter, r *http.Request, err error) {
	GinkgoWriter.Printf("balancer: request to an entry failed: %v\n", err)
	w.WriteHeader(http.StatusBadGateway)
}

// reportRefused logs the status and body of an error response.
func reportRefused(r *http.Response) error {
	if r.StatusCode < http.StatusBadRequest {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	r.Body = io.NopCloser(bytes.NewReader(body))
	GinkgoWriter.Printf("balancer: entry responded with status %d: %s\n", r.StatusCode, body)
	return err
}
