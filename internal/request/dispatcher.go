package request

import (
	"context"

	"persimmonbay/internal/configuration"
)

// Dispatcher decides when a request is sent and to which instance.
type Dispatcher interface {
	// Acquire waits until the request may start on an instance of the service
	// whose ID is not in excluded, and takes a slot there. It returns an error of
	// kind Overloaded or Unavailable when the request is not placed.
	Acquire(ctx context.Context, r *Request, service *configuration.Service, excluded []string) (Placement, error)
}
