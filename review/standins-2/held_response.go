package main

import (
	"bytes"
	"net/http"
)

// heldResponse is a response that is not sent yet.
type heldResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldResponse) Header() http.Header { return h.header }

func (h *heldResponse) WriteHeader(status int) { h.status = status }

func (h *heldResponse) Write(b []byte) (int, error) { return h.body.Write(b) }

func (h *heldResponse) send(w http.ResponseWriter) {
	for k, v := range h.header {
		w.Header()[k] = v
	}
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body.Bytes())
}
