package request

import (
	"context"

	"persimmonbay/internal/configuration"
)

// Dispatcher decides when and where a request goes next.
type Dispatcher interface {
	// Acquire waits for the request's turn and a free slot on an instance of
	// the service that is not among tried. An error of kind Overloaded or
	// Unavailable means that the request was not placed.
	Acquire(ctx context.Context, r *Request, service *configuration.Service, tried []string) (Placement, error)
}
