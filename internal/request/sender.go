package request

import (
	"context"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
)

// Sender sends a request to an instance once.
type Sender interface {
	// Send returns the answer. An error of kind Unavailable means that no byte
	// of the request left; after any other error it may have run.
	Send(ctx context.Context, instance fleet.Instance, service *configuration.Service, r *Request) (Answer, error)
}
