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

// maxAttempts limits the attempts at one request, all of them included.
const maxAttempts = 3

// minSilenceLimit applies to services whose silence limit is shorter or not set,
// which would otherwise repeat a request at once.
const minSilenceLimit = 100 * time.Millisecond

// refusedStatus is the HTTP status of an upstream that did not serve a request;
// another upstream may serve it.
const refusedStatus = 503

// attempts runs the attempts of one request, each in a goroutine of its own that
// sends its result to results. tried is shared with these goroutines; all other
// fields belong to the request's goroutine.
type attempts struct {
	server  *Server
	request *Request
	service *configuration.Service
	tried   *shard.Cell[[]string] // IDs of the instances of earlier attempts
	results chan attemptResult    // buffered for every attempt
	started int                   // number of attempts so far
	running int                   // attempts without a result
	outcome fleet.Outcome         // of the request, when it fails
	failure error                 // of the latest placed attempt, else of the first one without a placement
	refusal *attemptResult        // an upstream's refusal, returned when no attempt has a better answer
}

func (s *Server) newAttempts(r *Request, service *configuration.Service) *attempts {
	return &attempts{server: s, request: r, service: service, outcome: fleet.NotRun,
		tried: shard.NewCell[[]string](nil), results: make(chan attemptResult, maxAttempts)}
}

// run attempts the request until it has an answer, may not be repeated, its
// deadline has passed, or the attempts or the retry budget are used up. When an
// attempt at an idempotent request has no answer within the service's silence
// limit, another attempt is started beside it, on another instance if there is
// one; the first answer is returned. Each attempt has the whole limit.
func (a *attempts) run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the attempts that are still running
	a.server.RetryBudget.Earn(a.service.Name)
	a.start(ctx)
	silence := newSilenceTimer(a.server.Clock, max(a.service.SilenceLimit, minSilenceLimit))
	defer silence.timer.Stop()
	for a.running > 0 {
		select {
		case r := <-a.results:
			a.running--
			before := a.started
			if a.handleResult(ctx, r) {
				a.discardOthers()
				return Result{Outcome: fleet.Completed, Answer: r.answer}
			}
			if a.started > before {
				silence.restart()
			}
		case <-silence.timer.Chan():
			if !silence.passed() {
				continue
			}
			if a.mayRepeat(ctx) && a.server.RetryBudget.Spend(a.service.Name) {
				a.start(ctx)
			}
			silence.restart()
		}
	}
	if a.refusal != nil {
		return Result{Outcome: fleet.Completed, Answer: a.refusal.answer}
	}
	return Result{Outcome: a.outcome, Err: a.failure}
}

// handleResult records the result of an attempt and starts the next attempt when
// one is due. It reports whether r holds the answer to return.
func (a *attempts) handleResult(ctx context.Context, r attemptResult) bool {
	switch {
	case r.err == nil && (r.answer.Status != refusedStatus || a.request.Key != ""):
		return true
	case r.err == nil:
		a.saveRefusal(r)
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
	if a.running == 0 && a.mayStart(ctx) && (!sent || a.mayRepeat(ctx) && a.server.RetryBudget.Spend(a.service.Name)) {
		a.start(ctx)
	}
	return false
}

// saveRefusal saves the latest refusal in place of an earlier one.
func (a *attempts) saveRefusal(r attemptResult) {
	if a.refusal != nil {
		a.refusal.discard()
	}
	a.refusal = &r
}

// mayStart reports whether time and the number of attempts allow another one.
func (a *attempts) mayStart(ctx context.Context) bool {
	return a.started < maxAttempts && ctx.Err() == nil
}

// mayRepeat reports whether the request may be sent again after it was sent. A
// request with a key is sent at most once.
func (a *attempts) mayRepeat(ctx context.Context) bool {
	return a.request.Key == "" && a.mayStart(ctx)
}

// start starts an attempt. Attempts after the first use fresh connections.
func (a *attempts) start(ctx context.Context) {
	if a.started > 0 {
		ctx = WithFreshConnection(ctx)
	}
	a.started++
	a.running++
	go func() { a.results <- a.attemptOnce(ctx) }()
}

// attemptOnce acquires a placement and sends the request there.
func (a *attempts) attemptOnce(ctx context.Context) attemptResult {
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

// acquire places an attempt on an instance that was not tried. When there is no
// such instance, it places it on a tried one, which a fresh connection may reach.
func (a *attempts) acquire(ctx context.Context) (Placement, error) {
	tried := a.tried.Get()
	placement, err := a.server.Dispatcher.Acquire(ctx, a.request, a.service, tried)
	if len(tried) > 0 && problem.Is(err, problem.Unavailable) && ctx.Err() == nil {
		return a.server.Dispatcher.Acquire(ctx, a.request, a.service, nil)
	}
	return placement, err
}

// discardOthers closes the saved refusal and the answers of the attempts that are
// still running, without waiting for them.
func (a *attempts) discardOthers() {
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
