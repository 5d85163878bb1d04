package request

import (
	"context"
	"slices"
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
)

// maxAttempts bounds how many instances one request is tried on.
const maxAttempts = 3

// minSilence keeps a service without a silence limit from repeating at once.
const minSilence = 100 * time.Millisecond

// refusedStatus is the status by which an upstream says that it did not serve
// a request and that another one may.
const refusedStatus = 503

// attempts runs the attempts of one request, each in a goroutine of its own
// that reports on results. tried is shared with them; all other fields belong
// to the request's goroutine.
type attempts struct {
	server  *Server
	request *Request
	service *configuration.Service
	tried   *shard.Cell[[]string] // IDs of the instances placed on
	results chan attemptResult    // has room for every attempt
	started int
	running int
	outcome fleet.Outcome // of a request that ends in failure
	failure error
	refusal *attemptResult // an upstream's own refusal, to be used when nothing better comes
}

func (s *Server) newAttempts(r *Request, service *configuration.Service) *attempts {
	return &attempts{server: s, request: r, service: service, outcome: fleet.NotRun,
		tried: shard.NewCell[[]string](nil), results: make(chan attemptResult, maxAttempts)}
}

// run attempts the request until it has an answer, may not be repeated, or
// time, attempts or the budget of retries run out. An idempotent request whose
// attempt stays without an answer for the service's silence limit is attempted
// elsewhere as well; the first whole answer counts.
func (a *attempts) run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts whose answer is not needed
	a.server.Retries.Earn(a.service.Name)
	a.start(ctx)
	silence := a.server.Clock.NewTimer(max(a.service.SilenceLimit, minSilence))
	defer silence.Stop()
	for a.running > 0 {
		select {
		case r := <-a.results:
			a.running--
			if a.settle(ctx, r) {
				a.abandon()
				return Result{Outcome: fleet.Completed, Answer: r.answer}
			}
		case <-silence.Chan():
			if a.mayRepeat(ctx) && a.server.Retries.Spend(a.service.Name) {
				a.start(ctx)
			}
			silence.Reset(max(a.service.SilenceLimit, minSilence))
		}
	}
	if a.refusal != nil {
		return Result{Outcome: fleet.Completed, Answer: a.refusal.answer}
	}
	return Result{Outcome: a.outcome, Err: a.failure}
}

// settle notes a finished attempt and starts the next one if there is to be
// one. It reports whether the attempt brought the answer.
func (a *attempts) settle(ctx context.Context, r attemptResult) bool {
	switch {
	case r.err == nil && (r.answer.Status != refusedStatus || a.request.Key != ""):
		return true
	case r.err == nil:
		a.keepRefusal(r)
	case !r.placed:
		if a.failure == nil {
			a.failure = r.err
		}
		return false
	default:
		a.failure = r.err
	}
	sent := r.err == nil || !problem.Is(r.err, problem.Unavailable)
	if sent {
		a.outcome = fleet.Unknown
	}
	if a.running == 0 && a.mayStart(ctx) && (!sent || a.mayRepeat(ctx) && a.server.Retries.Spend(a.service.Name)) {
		a.start(ctx)
	}
	return false
}

func (a *attempts) keepRefusal(r attemptResult) {
	if a.refusal != nil {
		a.refusal.discard()
	}
	a.refusal = &r
}

func (a *attempts) mayStart(ctx context.Context) bool {
	return a.started < maxAttempts && ctx.Err() == nil
}

// mayRepeat reports whether the request may be sent again although it was sent
// before.
func (a *attempts) mayRepeat(ctx context.Context) bool {
	return a.request.Key == "" && a.mayStart(ctx)
}

// start begins an attempt. Later ones use fresh connections.
func (a *attempts) start(ctx context.Context) {
	if a.started > 0 {
		ctx = DemandFreshConnection(ctx)
	}
	a.started++
	a.running++
	go func() { a.results <- a.once(ctx) }()
}

func (a *attempts) once(ctx context.Context) attemptResult {
	placement, err := a.acquire(ctx)
	if err != nil {
		return attemptResult{err: err}
	}
	a.tried.Update(func(tried []string) ([]string, bool) {
		return append(slices.Clip(tried), placement.Instance.ID), true
	})
	answer, err := a.server.send(ctx, placement, a.request, a.service)
	return attemptResult{answer: answer, err: err, placed: true}
}

// acquire places an attempt on an instance that was not tried, or on one that
// was when there is no other: a fresh connection may reach it.
func (a *attempts) acquire(ctx context.Context) (Placement, error) {
	tried := a.tried.Get()
	placement, err := a.server.Dispatcher.Acquire(ctx, a.request, a.service, tried)
	if len(tried) > 0 && problem.Is(err, problem.Unavailable) && ctx.Err() == nil {
		return a.server.Dispatcher.Acquire(ctx, a.request, a.service, nil)
	}
	return placement, err
}

// abandon drops what the attempts bring that are still running.
func (a *attempts) abandon() {
	if a.refusal != nil {
		a.refusal.discard()
	}
	left := a.running
	if left == 0 {
		return
	}
	go func() {
		for range left {
			(<-a.results).discard()
		}
	}()
}
