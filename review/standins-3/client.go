package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// host and prefixes of the queues.
const host = "desk.example"

// newID returns an ID as clients choose them.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}

// call makes one request of a client at the entry with the given number, on a connection of
// its own, as the balancer would place it.
func (w *world) call(at int, method, path string, body any) (int, []byte) {
	e := w.entries[at%len(w.entries)]
	var data io.Reader
	if body != nil {
		data = bytes.NewReader(encode(body))
	}
	req, err := http.NewRequest(method, "http://"+e.callers+path, data)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/cbor")
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.record.line("client: %s %s at %s: no answer", method, path, e.name)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted, and reports whether it was.
func (w *world) submit(id, prefix string, job jobBody) bool {
	w.mu.Lock()
	w.jobs[id] = job
	w.mu.Unlock()
	for try := range 5 {
		status, _ := w.call(try, http.MethodPost, prefix+id, job)
		w.record.line("client: POST %s%s: %d", prefix, id, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (w *world) state(id, prefix string) string {
	for try := range 3 {
		status, answer := w.call(try, http.MethodGet, prefix+id, nil)
		var b struct {
			State string `json:"state"`
		}
		w.record.line("client: GET %s%s: %d", prefix, id, status)
		if status == http.StatusOK && cbor.Unmarshal(answer, &b) == nil {
			return b.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return "no answer"
}
