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

// probeInterval is how often the balancer asks whether an entry is ready.
const probeInterval = 20 * time.Millisecond

// balancer passes each request to the next entry that was ready when last
// asked, as the platform's does. It never sends a request twice.
type balancer struct {
	backends []atomic.Pointer[backend] // one for each place of an entry
	next     atomic.Int64
	proxy    httputil.ReverseProxy
	server   *httptest.Server
}

func startBalancer(places int) *balancer {
	b := &balancer{backends: make([]atomic.Pointer[backend], places)}
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

// put has an entry take the i-th place.
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
	GinkgoWriter.Println("the balancer knows of no entry that is ready")
	http.Error(w, "no entry is ready", http.StatusServiceUnavailable)
}

// reportBroken tells of a request that an entry did not answer whole.
func reportBroken(w http.ResponseWriter, r *http.Request, err error) {
	GinkgoWriter.Printf("no answer from an entry: %v\n", err)
	w.WriteHeader(http.StatusBadGateway)
}

// reportRefused tells of a request that an entry refused, and why.
func reportRefused(r *http.Response) error {
	if r.StatusCode < http.StatusBadRequest {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	r.Body = io.NopCloser(bytes.NewReader(body))
	GinkgoWriter.Printf("an entry answered %d: %s\n", r.StatusCode, body)
	return err
}
