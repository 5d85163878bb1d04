package front

import (
	"context"

	"persimmonbay/internal/request"
)

// Requests serves callers' requests.
type Requests interface {
	Serve(ctx context.Context, r *request.Request) request.Result
}
