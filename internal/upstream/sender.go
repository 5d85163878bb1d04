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

// suspectShare is the part of a service's silence limit after which a
// connection without a byte is suspected; the rest is left to the probe.
const suspectShare = 2

// maxSuspectAfter bounds the time to the first suspicion.
const maxSuspectAfter = time.Second

// Sender sends requests to upstream instances over kept connections. A keyed
// request and a retry go over fresh ones, which cannot have gone silent.
type Sender struct {
	wholeBytes int64
	clock      clockwork.Clock
	leaving    func(instance string)
	endpoints  *shard.Map[string, *endpoint] // by address
	probesCtx  context.Context               // ends with Close
	stopProbes context.CancelFunc
	probes     sync.WaitGroup
}

var _ request.Sender = (*Sender)(nil)

// NewSender returns a sender without connections. Answers of up to wholeBytes
// are read whole before they are returned. leaving is told the ID of each
// instance that says on an answer that it is leaving.
func NewSender(wholeBytes int64, clock clockwork.Clock, leaving func(instance string)) *Sender {
	ctx, stop := context.WithCancel(context.Background())
	return &Sender{wholeBytes: wholeBytes, clock: clock, leaving: leaving,
		endpoints: shard.NewMap[string, *endpoint](), probesCtx: ctx, stopProbes: stop}
}

// Send implements request.Sender.
func (s *Sender) Send(ctx context.Context, instance fleet.Instance, service *configuration.Service, r *request.Request) (request.Answer, error) {
	e := s.endpoints.GetOrCreate(instance.Address, func() *endpoint { return newEndpoint(instance.Address, s.clock) })
	transport := e.kept
	if r.Key != "" || request.RequiresFreshConnection(ctx) {
		transport = e.fresh
	}
	answer, reused, err := s.sendOver(ctx, e, transport, instance, service, r)
	if reused && problem.Is(err, problem.Unavailable) && ctx.Err() == nil {
		answer, _, err = s.sendOver(ctx, e, e.fresh, instance, service, r)
	}
	return answer, err
}

// sendOver sends r once. Its exchange ends with ctx until the answer is
// returned; the remainder of a large answer then lasts until it is closed.
func (s *Sender) sendOver(ctx context.Context, e *endpoint, transport *http.Transport, instance fleet.Instance, service *configuration.Service, r *request.Request) (_ request.Answer, reused bool, _ error) {
	watched := &departure{clock: s.clock}
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	silence := s.watch(e, service, watched)
	defer silence.end()
	answer, err := s.exchange(own, cancel, transport, instance, r, watched)
	if !stop() && err == nil && answer.Rest != nil {
		_ = answer.Rest.Close()
		err = context.Cause(ctx)
	}
	if err == nil && answer.Rest != nil {
		return answer, false, nil
	}
	cancel()
	if err != nil {
		return request.Answer{}, watched.onReused(), sendError(ctx, instance.ID, watched, err)
	}
	return answer, false, nil
}

func (s *Sender) watch(e *endpoint, service *configuration.Service, watched *departure) *silenceWatch {
	limit := maxSuspectAfter
	if service.SilenceLimit > 0 {
		limit = min(limit, service.SilenceLimit/suspectShare)
	}
	w := &silenceWatch{clock: s.clock, limit: limit, progress: watched.progress,
		suspect: func() { e.suspect(s.probesCtx, &s.probes, limit) }}
	w.begin()
	return w
}

func (s *Sender) exchange(ctx context.Context, cancel context.CancelFunc, transport *http.Transport, instance fleet.Instance, r *request.Request, watched *departure) (request.Answer, error) {
	out, err := newRequest(httptrace.WithClientTrace(ctx, watched.trace()), instance, r)
	if err != nil {
		return request.Answer{}, err
	}
	response, err := transport.RoundTrip(out)
	if err != nil {
		return request.Answer{}, err
	}
	if response.Header.Get(headerState) == string(fleet.Leaving) {
		s.leaving(instance.ID)
	}
	return s.read(response, r.Method, cancel)
}

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

func sendError(ctx context.Context, peer string, watched *departure, err error) error {
	if !watched.happened() {
		return problem.Wrap(problem.Unavailable, problem.StepConnect, peer, err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.Wrap(problem.Timeout, problem.StepReceive, peer, context.DeadlineExceeded)
	}
	return problem.Wrap(problem.Interrupted, problem.StepReceive, peer, err)
}

// read returns the answer once it is known to be whole, or its beginning when
// it is larger than wholeBytes.
func (s *Sender) read(response *http.Response, method string, cancel context.CancelFunc) (request.Answer, error) {
	answer := request.Answer{Status: response.StatusCode, Fields: answerFields(response.Header), Length: response.ContentLength}
	if bodyless(method, response.StatusCode) {
		if method != http.MethodHead {
			answer.Length = unknownLength
		}
		return answer, response.Body.Close()
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_ = response.Body.Close()
		return request.Answer{}, errNoEnd
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
	answer.Rest = newRest(response.Body, cancel, s.clock)
	return answer, nil
}

// unknownLength is the Length of an answer that names none.
const unknownLength = -1

// errNoEnd is the fault of an answer that ends with its connection: nobody
// could tell a whole body from a short one.
var errNoEnd = errors.New("the answer has neither a length nor chunks and cannot be known to be whole")

func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// Close ends the probes and drops the idle connections.
func (s *Sender) Close() {
	s.stopProbes()
	s.probes.Wait()
	s.endpoints.Range(func(_ string, e *endpoint) bool {
		e.close()
		return true
	})
}
