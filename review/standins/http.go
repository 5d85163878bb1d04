package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
)

// request is a call that a stand-in received.
type request struct {
	*http.Request
	body object
}

// listen serves handler on a free loopback port and returns its address.
func listen(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String()
}

// entryHost is the loopback address on which this run's entries listen: one of its own, so that
// no connection of another run takes their ports.
var entryHost = fmt.Sprintf("127.10.%d.%d", os.Getpid()>>8&255, os.Getpid()&255)

// freeAddress returns an address of this run on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", entryHost+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

func readRequest(r *http.Request) *request {
	req := &request{Request: r, body: object{}}
	data, _ := io.ReadAll(r.Body)
	if len(data) > 0 {
		if v, err := decode(data); err == nil {
			if m, ok := v.(object); ok {
				req.body = m
			}
		}
	}
	return req
}

func reply(w http.ResponseWriter, status int, body object) {
	data := encode(body)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
