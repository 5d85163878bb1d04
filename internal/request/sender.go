package request

import (
	"context"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
)

// Sender sends requests to instances, each at most once.
type Sender interface {
	// Send returns the answer. An error of kind Unavailable means that no byte of
	// the request was sent; after any other error the request may have run.
	Send(ctx context.Context, instance fleet.Instance, service *configuration.Service, r *Request) (Answer, error)
}
