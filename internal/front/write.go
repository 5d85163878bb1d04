package front

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

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
	if answer.Length >= 0 && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	if answer.Rest != nil {
		defer answer.Rest.Close()
		if err == nil {
			_, err = io.Copy(w, answer.Rest)
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
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
