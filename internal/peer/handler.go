package peer

import (
	"context"

	"persimmonbay/internal/peer/wire"
)

// Handler serves the calls of other entries. It must be safe for concurrent
// use. An error that it returns is sent to the caller as a wire.Failure.
type Handler interface {
	Handle(ctx context.Context, request *wire.Request) (*wire.Response, error)
}
