package bench

import (
	"context"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// unbatchedLedger is the baseline of BenchmarkLedger: it writes each claim and
// each outcome to the store separately.
type unbatchedLedger struct {
	store platform.Store
}

func (s *unbatchedLedger) Claim(ctx context.Context, r *request.Request) (request.Claim, error) {
	_, err := s.store.Put(ctx, "claims/"+string(r.Key), []byte(r.ID), platform.MustNotExist(), "")
	if problem.Is(err, problem.Conflict) {
		return request.Claim{State: request.ClaimInProgress}, nil
	}
	return request.Claim{}, err
}

func (s *unbatchedLedger) Complete(ctx context.Context, r *request.Request, result request.Result) request.Result {
	_, _ = s.store.Put(ctx, "claims/"+string(r.Key), result.Answer.Body, platform.Any(), "")
	return result
}
