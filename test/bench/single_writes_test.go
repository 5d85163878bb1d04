package bench

import (
	"context"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// singleWrites is the ledger it is measured against: one write a claim and one
// an outcome, in no batch.
type singleWrites struct {
	store platform.Store
}

func (s *singleWrites) Claim(ctx context.Context, r *request.Request) (request.Claim, error) {
	_, err := s.store.Put(ctx, "claims/"+string(r.Key), []byte(r.ID), platform.MustNotExist(), "")
	if problem.Is(err, problem.Conflict) {
		return request.Claim{State: request.ClaimInProgress}, nil
	}
	return request.Claim{}, err
}

func (s *singleWrites) Complete(ctx context.Context, r *request.Request, result request.Result) request.Result {
	_, _ = s.store.Put(ctx, "claims/"+string(r.Key), result.Answer.Body, platform.Any(), "")
	return result
}
