package front

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/guard"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// maxTimeout bounds the timeout that a caller may set.
const maxTimeout = time.Hour

// parse converts a caller's request that arrived at now. It fails when a header
// field is invalid, or the body cannot be read or exceeds bodyBytes.
func parse(r *http.Request, service string, now time.Time, bodyBytes int64) (*request.Request, error) {
	in := &request.Request{
		Service: service,
		Team:    r.Header.Get(headerTeam),
		Class:   fleet.Normal,
		Method:  r.Method,
		Path:    upstreamPath(r, service),
		Fields:  parseFields(r.Header),
	}
	if err := parseEntryHeaders(r, in, now); err != nil {
		return nil, err
	}
	if r.ContentLength > bodyBytes {
		return nil, tooLarge(bodyBytes)
	}
	body, err := guard.ReadAll(io.LimitReader(r.Body, bodyBytes+1))
	if err != nil {
		return nil, problem.Wrap(problem.Interrupted, problem.StepParse, r.RemoteAddr, err)
	}
	if int64(len(body)) > bodyBytes {
		return nil, tooLarge(bodyBytes)
	}
	in.Body = body
	return in, nil
}

func parseEntryHeaders(r *http.Request, in *request.Request, now time.Time) (err error) {
	if text := r.Header.Get(headerClass); text != "" {
		if in.Class, err = fleet.ParseClass(text); err != nil {
			return problem.New(problem.Invalid, problem.StepParse, "", headerClass+": "+err.Error())
		}
	}
	if text := r.Header.Get(headerTimeout); text != "" {
		timeout, err := parseTimeout(text)
		if err != nil {
			return err
		}
		in.Deadline = now.Add(timeout)
	}
	if text := r.Header.Get(headerKey); text != "" {
		if in.Key, err = request.ParseKey(text, now); err != nil {
			return err
		}
	}
	return nil
}

func tooLarge(bodyBytes int64) error {
	return problem.New(problem.TooLarge, problem.StepParse, "", "the request body is larger than "+strconv.FormatInt(bodyBytes, 10)+" bytes")
}

func parseTimeout(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return 0, problem.New(problem.Invalid, problem.StepParse, "", headerTimeout+": expected milliseconds from 1 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10))
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// upstreamPath returns the path after the service, with the query, encoded as the
// caller sent it.
func upstreamPath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func parseFields(header http.Header) []request.Field {
	fields := make([]request.Field, 0, len(header))
	for name, values := range header {
		if entryFields[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, request.Field{Name: name, Value: v})
		}
	}
	return fields
}
