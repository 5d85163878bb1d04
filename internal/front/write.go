package front

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// problemTypePrefix begins the type of each problem; the kind follows.
const problemTypePrefix = "urn:persimmonbay:problem:"

// retryAfterSeconds is what callers are told to wait after a refusal that a
// retry may overcome.
const retryAfterSeconds = 1

// statuses maps the kinds of problems to HTTP statuses.
var statuses = map[problem.Kind]int{
	problem.Invalid:      http.StatusBadRequest,
	problem.TooLarge:     http.StatusRequestEntityTooLarge,
	problem.Mismatch:     http.StatusUnprocessableEntity,
	problem.NotFound:     http.StatusNotFound,
	problem.Conflict:     http.StatusConflict,
	problem.Unauthorized: http.StatusUnauthorized,
	problem.Overloaded:   http.StatusTooManyRequests,
	problem.Unavailable:  http.StatusServiceUnavailable,
	problem.Timeout:      http.StatusGatewayTimeout,
	problem.Interrupted:  http.StatusBadGateway,
}

// callerSilence is how long a caller may take to accept the next part of a
// large answer.
const callerSilence = 30 * time.Second

// copyBytes is the size of the parts in which large answers are passed on.
const copyBytes = 32 << 10

// write sends a result with an answer. A body that cannot be sent whole ends
// in a broken connection, never in one that looks whole.
func write(w http.ResponseWriter, result request.Result) {
	answer := result.Answer
	header := w.Header()
	for _, f := range answer.Fields {
		header.Add(f.Name, f.Value)
	}
	header.Set(headerOutcome, string(result.Outcome))
	if result.Replayed {
		header.Set(headerReplayed, "true")
	}
	header.Del("Content-Length")
	if answer.Length >= 0 && hasLength(answer.Status) {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	if answer.Rest == nil {
		return
	}
	if err == nil {
		err = passOn(w, answer.Rest)
	}
	_ = answer.Rest.Close()
	if err != nil {
		breakOff(w)
	}
}

// hasLength reports whether an answer of this status may name a length.
func hasLength(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// passOn copies the remainder of an answer to a caller who takes part after
// part.
func passOn(w http.ResponseWriter, rest io.Reader) error {
	control := http.NewResponseController(w)
	part := make([]byte, copyBytes)
	for {
		n, err := rest.Read(part)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(callerSilence)) // none for a recorder
			if _, err := w.Write(part[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return control.SetWriteDeadline(time.Time{})
		}
		if err != nil {
			return err
		}
	}
}

// breakOff resets the caller's connection. An orderly close would make the
// short body look whole to a caller of HTTP/1.0.
func breakOff(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// writeProblem sends a refusal.
func writeProblem(w http.ResponseWriter, outcome fleet.Outcome, err error) {
	document := describe(err)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(headerOutcome, string(outcome))
	if document.Status == http.StatusTooManyRequests || document.Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(document.Status)
	_ = json.NewEncoder(w).Encode(document) // a lost caller sees a broken connection
}

func describe(err error) problemDocument {
	kind := problem.KindOf(err)
	status, ok := statuses[kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	document := problemDocument{Type: problemTypePrefix + string(kind), Title: http.StatusText(status), Status: status, Detail: err.Error()}
	var p *problem.Error
	if errors.As(err, &p) {
		document.Step, document.Peer = string(p.Step), p.Peer
	}
	return document
}
