package entry

import (
	"context"

	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// Handle implements peer.Handler.
func (e *Entry) Handle(_ context.Context, request *wire.Request) (*wire.Response, error) {
	switch body := request.GetBody().(type) {
	case *wire.Request_Heartbeat:
		e.heard(wire.ToHeartbeat(body.Heartbeat))
		return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: wire.FromHeartbeat(e.ownHeartbeat())}}, nil
	case *wire.Request_Configuration:
		v := e.inForce.Get()
		return &wire.Response{Body: &wire.Response_Configuration{Configuration: &wire.Configuration{Version: uint64(v.Version), Source: v.Source}}}, nil
	}
	return nil, problem.New(problem.Invalid, problem.StepPeerCall, request.GetFrom(), "unknown request")
}
