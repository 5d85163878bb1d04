package peernotice

import (
	"context"

	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/poolmanager"
	"persimmonbay/internal/problem"
)

// Handler passes the notices of other entries to a manager.
type Handler struct {
	manager *poolmanager.Manager
}

var _ peer.Handler = (*Handler)(nil)

// NewHandler returns a handler that passes notices to manager.
func NewHandler(manager *poolmanager.Manager) *Handler { return &Handler{manager: manager} }

// Handle serves one call. It refuses all requests but notices.
func (h *Handler) Handle(_ context.Context, request *wire.Request) (*wire.Response, error) {
	n := request.GetWork()
	if n == nil {
		return nil, problem.New(problem.Invalid, problem.StepPeerCall, request.GetFrom(), "the request is not a notice of a job")
	}
	h.manager.ReceiveNotice(poolmanager.Notice{
		Service: n.GetService(), Job: n.GetJob(), Value: n.GetValue(), Revision: n.GetRevision(), Cancelled: n.GetCancelled(), OwnerToken: n.GetOwner(),
	})
	return &wire.Response{Body: &wire.Response_Work{Work: &wire.WorkNoted{}}}, nil
}
