package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/shard"
)

// silenceDivisor divides a service's silence limit. The pooled connections are
// probed when a request's connection received no byte for the result; the
// remaining time is left for the probe.
const silenceDivisor = 2

// maxProbeDelay is the longest time without a received byte until the probe starts,
// also for services without a silence limit.
const maxProbeDelay = time.Second

// Sender implements request.Sender over HTTP/1.1. It sends requests on pooled
// connections; requests with a key and retries get fresh ones, since a pooled
// connection may be dead without notice. Its methods may be called concurrently.
type Sender struct {
	wholeBytes int64
	clock      clockwork.Clock
	onLeaving  func(instance string)
	endpoints  *shard.Map[string, *endpoint] // by address
	probesCtx  context.Context               // cancelled by Close
	stopProbes context.CancelFunc
	probes     sync.WaitGroup
}

var _ request.Sender = (*Sender)(nil)

// NewSender returns a sender without connections. Answers of up to wholeBytes
// bytes are read whole before they are returned. onLeaving is called with the ID of
// each instance whose answer carries the state leaving.
func NewSender(wholeBytes int64, clock clockwork.Clock, onLeaving func(instance string)) *Sender {
	ctx, stop := context.WithCancel(context.Background())
	return &Sender{wholeBytes: wholeBytes, clock: clock, onLeaving: onLeaving,
		endpoints: shard.NewMap[string, *endpoint](), probesCtx: ctx, stopProbes: stop}
}

// Send implements request.Sender. When a reused connection breaks before any byte
// was sent, it sends the request on a fresh one.
func (s *Sender) Send(ctx context.Context, instance fleet.Instance, service *configuration.Service, r *request.Request) (request.Answer, error) {
	e := s.endpoints.GetOrCreate(instance.Address, func() *endpoint { return newEndpoint(instance.Address, s.clock) })
	transport := e.pooled
	if r.Key != "" || request.RequiresFreshConnection(ctx) {
		transport = e.fresh
	}
	answer, reused, err := s.sendOver(ctx, e, transport, instance, service, r)
	if reused && problem.Is(err, problem.Unavailable) && ctx.Err() == nil {
		answer, _, err = s.sendOver(ctx, e, e.fresh, instance, service, r)
	}
	return answer, err
}

// sendOver sends r on a connection of transport, and reports whether a failed one
// was reused. The exchange is cancelled with ctx until sendOver returns; the
// remainder of a large answer can be read until it is closed.
func (s *Sender) sendOver(ctx context.Context, e *endpoint, transport *http.Transport, instance fleet.Instance, service *configuration.Service, r *request.Request) (_ request.Answer, reused bool, _ error) {
	trace := &sendTrace{clock: s.clock}
	exchangeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	silence := s.watchSilence(e, service, trace)
	defer silence.stop()
	answer, err := s.exchange(exchangeCtx, cancel, transport, instance, r, trace)
	if !stop() && err == nil && answer.Remainder != nil {
		_ = answer.Remainder.Close()
		err = context.Cause(ctx)
	}
	if err == nil && answer.Remainder != nil {
		return answer, false, nil
	}
	cancel()
	if err != nil {
		return request.Answer{}, trace.onReused(), sendError(ctx, instance.ID, trace, err)
	}
	return answer, false, nil
}

// watchSilence starts the watch of one request, which probes the instance when
// the request's connection receives nothing.
func (s *Sender) watchSilence(e *endpoint, service *configuration.Service, trace *sendTrace) *silenceWatch {
	limit := maxProbeDelay
	if service.SilenceLimit > 0 {
		limit = min(limit, service.SilenceLimit/silenceDivisor)
	}
	w := &silenceWatch{clock: s.clock, limit: limit, progress: trace.progress,
		onSilence: func() { e.checkConnections(s.probesCtx, &s.probes, limit) }}
	w.start()
	return w
}

// exchange sends r and reads its answer.
func (s *Sender) exchange(ctx context.Context, cancel context.CancelFunc, transport *http.Transport, instance fleet.Instance, r *request.Request, trace *sendTrace) (request.Answer, error) {
	out, err := newRequest(httptrace.WithClientTrace(ctx, trace.clientTrace()), instance, r)
	if err != nil {
		return request.Answer{}, err
	}
	response, err := transport.RoundTrip(out)
	if err != nil {
		return request.Answer{}, err
	}
	if response.Header.Get(headerState) == string(fleet.Leaving) {
		s.onLeaving(instance.ID)
	}
	return s.read(response, r.Method, cancel)
}

// newRequest returns the HTTP request for r.
func newRequest(ctx context.Context, instance fleet.Instance, r *request.Request) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+instance.Address+r.Path, nil)
	if err != nil {
		return nil, err
	}
	out.Body = newBody(r.Body)
	out.ContentLength = int64(len(r.Body))
	setFields(out.Header, r.Fields)
	if r.Key != "" {
		out.Header.Set(headerKey, string(r.Key))
	}
	out.Header.Set(headerRequestID, r.ID)
	return out, nil
}

// sendError returns the error of a failed exchange: of kind Unavailable when no
// byte was sent, Timeout when the deadline has passed, else Interrupted.
func sendError(ctx context.Context, peer string, trace *sendTrace, err error) error {
	if !trace.anySent() {
		return problem.Wrap(problem.Unavailable, problem.StepConnect, peer, err)
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return problem.Wrap(problem.Timeout, problem.StepReceive, peer, context.DeadlineExceeded)
	}
	return problem.Wrap(problem.Interrupted, problem.StepReceive, peer, err)
}

// read returns the whole answer, or its beginning and the remainder when its body
// is larger than wholeBytes.
func (s *Sender) read(response *http.Response, method string, cancel context.CancelFunc) (request.Answer, error) {
	answer := request.Answer{Status: response.StatusCode, Fields: answerFields(response.Header), Length: response.ContentLength}
	if hasNoBody(method, response.StatusCode) {
		if method != http.MethodHead {
			answer.Length = unknownLength
		}
		return answer, response.Body.Close()
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_ = response.Body.Close()
		return request.Answer{}, errUnframed
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, s.wholeBytes+1))
	if err != nil {
		_ = response.Body.Close()
		return request.Answer{}, err
	}
	answer.Body = head
	if int64(len(head)) <= s.wholeBytes {
		answer.Length = int64(len(head))
		return answer, response.Body.Close()
	}
	answer.Remainder = newRemainder(response.Body, cancel, s.clock)
	return answer, nil
}

// unknownLength is the Length of an answer that states none.
const unknownLength = -1

// errUnframed is returned for an answer whose body ends with its connection: a
// truncated body would look the same as a whole one.
var errUnframed = errors.New("the answer has neither a Content-Length nor chunked encoding, so a truncated body cannot be detected")

// hasNoBody reports whether an answer to method with status has no body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// Close ends the probes and closes the idle connections.
func (s *Sender) Close() {
	s.stopProbes()
	s.probes.Wait()
	s.endpoints.Range(func(_ string, e *endpoint) bool {
		e.close()
		return true
	})
}
