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

// problemTypePrefix is the prefix of the type of each problem; the kind follows.
const problemTypePrefix = "urn:persimmonbay:problem:"

// retryAfterSeconds is sent to callers as the wait before they retry a request
// that was refused as overloaded or unavailable.
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

// callerWriteTimeout bounds the time a caller takes to accept the next part of a
// large answer.
const callerWriteTimeout = 30 * time.Second

// copyBufferBytes is the size of the parts in which large answers are copied.
const copyBufferBytes = 32 << 10

// writeResult sends a result that has an answer. When the body cannot be sent
// completely, the connection is reset, so that the caller does not take the body
// for complete.
func writeResult(w http.ResponseWriter, result request.Result) {
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
	if answer.Remainder == nil {
		return
	}
	if err == nil {
		err = copyRest(w, answer.Remainder)
	}
	_ = answer.Remainder.Close()
	if err != nil {
		resetConnection(w)
	}
}

// hasLength reports whether an answer of this status may have a Content-Length.
func hasLength(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyRest copies the remainder of an answer to a caller. It fails when the caller
// does not accept a part within callerWriteTimeout.
func copyRest(w http.ResponseWriter, rest io.Reader) error {
	control := http.NewResponseController(w)
	part := make([]byte, copyBufferBytes)
	for {
		n, err := rest.Read(part)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // httptest's recorder supports none
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

// resetConnection resets the caller's connection. After an orderly close a caller
// with HTTP/1.0 would take the truncated body for complete.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// writeProblem sends a refusal as a problem document.
func writeProblem(w http.ResponseWriter, outcome fleet.Outcome, err error) {
	document := newProblemDocument(err)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(headerOutcome, string(outcome))
	if document.Status == http.StatusTooManyRequests || document.Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(document.Status)
	_ = json.NewEncoder(w).Encode(document) // after a write error the caller sees a broken connection
}

func newProblemDocument(err error) problemDocument {
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
