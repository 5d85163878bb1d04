package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// serve starts an HTTP server on a free loopback port and returns its address and the
// server. A handler that panics with http.ErrAbortHandler breaks the connection.
func serve(h http.Handler) (string, *http.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s
}

// serveAt is serve on an address that was in use before.
func serveAt(address string, h http.Handler) *http.Server {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fail("listen: %v", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s
}

// freePort returns a loopback address whose port is free now. It is below the ports that
// the system gives to outgoing connections, so that none of these takes it.
func freePort() string {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	fail("no free port")
	return ""
}

// body reads and decodes the body of a request.
func body(r *http.Request) fields {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	v, err := decodeCBOR(data)
	if err != nil {
		return fields{}
	}
	o, _ := v.(object)
	return fields(o)
}

// respond writes a response with an encoded body.
func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(encodeCBOR(v))
}
