package peernotice

import (
	"context"

	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/poolmanager"
	"persimmonbay/internal/problem"
)

// Handler passes the notices and questions of other entries to a manager.
type Handler struct {
	manager *poolmanager.Manager
}

var _ peer.Handler = (*Handler)(nil)

// NewHandler returns a handler that passes notices to manager.
func NewHandler(manager *poolmanager.Manager) *Handler { return &Handler{manager: manager} }

// Handle serves one call. It refuses all requests but notices and questions about
// pending jobs.
func (h *Handler) Handle(_ context.Context, request *wire.Request) (*wire.Response, error) {
	if q := request.GetPending(); q != nil {
		jobs, known := h.manager.OwnPending(q.GetService(), q.GetQueue())
		return &wire.Response{Body: &wire.Response_Pending{Pending: &wire.PendingCount{Known: known, Jobs: int64(jobs)}}}, nil
	}
	n := request.GetWork()
	if n == nil {
		return nil, problem.New(problem.Invalid, problem.StepPeerCall, request.GetFrom(), "the request is neither a notice of a job nor a question about pending jobs")
	}
	h.manager.ReceiveNotice(poolmanager.Notice{
		Service: n.GetService(), Job: n.GetJob(), Value: n.GetValue(), Revision: n.GetRevision(), Cancelled: n.GetCancelled(), OwnerToken: n.GetOwner(),
	})
	noted := &wire.WorkNoted{}
	if report, now, ok := h.manager.OwnReport(n.GetService()); ok {
		noted.Report = wire.FromPoolReport(&report, now)
	}
	return &wire.Response{Body: &wire.Response_Work{Work: noted}}, nil
}
