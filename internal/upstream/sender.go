package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/shard"
)

// Headers added towards upstreams.
const (
	headerKey       = "Idempotency-Key"
	headerRequestID = "Persimmonbay-Request-Id"
)

// hopFields are the header fields that belong to one connection.
var hopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Sender sends requests to upstream instances over kept connections.
type Sender struct {
	wholeBytes int64
	endpoints  *shard.Map[string, *endpoint] // by address
}

var _ request.Sender = (*Sender)(nil)

// NewSender returns a sender without connections. Answers of up to wholeBytes
// are read whole before they are returned.
func NewSender(wholeBytes int64) *Sender {
	return &Sender{wholeBytes: wholeBytes, endpoints: shard.NewMap[string, *endpoint]()}
}

// Send implements request.Sender.
func (s *Sender) Send(ctx context.Context, instance fleet.Instance, _ *configuration.Service, r *request.Request) (request.Answer, error) {
	watched := &departure{}
	out, err := newRequest(httptrace.WithClientTrace(ctx, watched.trace()), instance, r)
	if err != nil {
		return request.Answer{}, problem.Wrap(problem.Unavailable, problem.StepSend, instance.ID, err)
	}
	response, err := s.endpoints.GetOrCreate(instance.Address, newEndpoint).transport.RoundTrip(out)
	if err != nil {
		return request.Answer{}, sendError(instance.ID, watched, err)
	}
	return s.read(instance.ID, response)
}

func newRequest(ctx context.Context, instance fleet.Instance, r *request.Request) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+instance.Address+r.Path, nil)
	if err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Key != "" {
		out.Body = newBody(r.Body)
		out.ContentLength = int64(len(r.Body))
	}
	for _, f := range r.Fields {
		if !hopFields[f.Name] {
			out.Header.Add(f.Name, f.Value)
		}
	}
	if r.Key != "" {
		out.Header.Set(headerKey, string(r.Key))
	}
	out.Header.Set(headerRequestID, r.ID)
	return out, nil
}

func sendError(peer string, watched *departure, err error) error {
	if !watched.happened() {
		return problem.Wrap(problem.Unavailable, problem.StepConnect, peer, err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return problem.Wrap(problem.Timeout, problem.StepReceive, peer, err)
	}
	return problem.Wrap(problem.Interrupted, problem.StepReceive, peer, err)
}

// read returns the answer once it is known to be whole, or its beginning when
// it is larger than wholeBytes.
func (s *Sender) read(peer string, response *http.Response) (request.Answer, error) {
	answer := request.Answer{Status: response.StatusCode, Fields: fields(response.Header), Length: response.ContentLength}
	head, err := io.ReadAll(io.LimitReader(response.Body, s.wholeBytes+1))
	if err != nil {
		_ = response.Body.Close()
		return request.Answer{}, problem.Wrap(problem.Interrupted, problem.StepReceive, peer, err)
	}
	answer.Body = head
	if int64(len(head)) <= s.wholeBytes {
		_ = response.Body.Close()
		answer.Length = int64(len(head))
		return answer, nil
	}
	answer.Rest = response.Body
	return answer, nil
}

func fields(header http.Header) []request.Field {
	all := make([]request.Field, 0, len(header))
	for name, values := range header {
		if hopFields[name] {
			continue
		}
		for _, v := range values {
			all = append(all, request.Field{Name: name, Value: v})
		}
	}
	return all
}

// Close drops the idle connections.
func (s *Sender) Close() {
	s.endpoints.Range(func(_ string, e *endpoint) bool {
		e.close()
		return true
	})
}
