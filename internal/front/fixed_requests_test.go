package front

import (
	"context"

	"persimmonbay/internal/request"
)

// fixedRequests gives every request the same result.
type fixedRequests func(*request.Request) request.Result

// Serve implements Requests.
func (f fixedRequests) Serve(_ context.Context, r *request.Request) request.Result { return f(r) }
