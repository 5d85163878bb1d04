package peernotice

import (
	"context"

	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/poolmanager"
	"persimmonbay/internal/problem"
)

// Handler takes in the notices of other entries.
type Handler struct {
	manager *poolmanager.Manager
}

var _ peer.Handler = (*Handler)(nil)

// NewHandler returns a handler that hands notices to k.
func NewHandler(k *poolmanager.Manager) *Handler { return &Handler{manager: k} }

// Handle serves one call. Anything but a notice is refused.
func (h *Handler) Handle(_ context.Context, request *wire.Request) (*wire.Response, error) {
	n := request.GetWork()
	if n == nil {
		return nil, problem.New(problem.Invalid, problem.StepPeerCall, request.GetFrom(), "expected a notice of work")
	}
	h.manager.ReceiveNotice(poolmanager.Notice{
		Service: n.GetService(), Job: n.GetJob(), Value: n.GetValue(), Revision: n.GetRevision(), Cancelled: n.GetCancelled(), OwnerToken: n.GetOwner(),
	})
	return &wire.Response{Body: &wire.Response_Work{Work: &wire.WorkNoted{}}}, nil
}
