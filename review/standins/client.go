package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

const host = "booking.example"

// call sends a client's request on a connection of its own and returns the status, 0
// without an answer, and the body. The client leaves after patience.
func (e *entry) call(method, path string, body object, deadline, patience time.Duration) (int, object) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(encode(body))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, reader)
	check(err)
	r.Host, r.Close = host, true
	r.Header.Set("Content-Type", "application/cbor")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	sent := time.Now()
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		note("client: %s %s at %s: no answer after %d ms", method, path, e.name, time.Since(sent).Milliseconds())
		return 0, nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	v, _ := decode(data)
	answer, _ := v.(object)
	note("client: %s %s at %s: %d %v after %d ms", method, path, e.name, resp.StatusCode, answer, time.Since(sent).Milliseconds())
	return resp.StatusCode, answer
}

// route returns a queue of the configuration.
func route(name, prefix, service string) object {
	return object{
		"name": name, "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0,
		"service": service, "max_attempts": 4, "stretch_factor": 1.6,
	}
}

func service(name string) object {
	return object{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}
}

func step(count, cpu, estimate int) object {
	return object{"count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": estimate}
}

// submit hands a job in, at the next entry after each try without a 200, as a client does.
func (w *world) submit(entries []*entry, path string, steps ...object) {
	phases := []any{}
	for _, s := range steps {
		phases = append(phases, s)
	}
	w.mu.Lock()
	w.needs[path[len(path)-16:]] = int64(steps[0]["cpu"].(int))
	w.mu.Unlock()
	w.submitBody(entries, path, object{"spec": strconv.Itoa(steps[0]["estimate_ms"].(int)), "phases": phases})
}

// submitBody does the same for a body that is ready.
func (w *world) submitBody(entries []*entry, path string, body object) {
	for _, e := range entries {
		if status, _ := e.call("POST", path, body, 3*time.Second, 3*time.Second); status == http.StatusOK {
			return
		}
	}
	cannotRun("%s was not accepted", path)
}
