package entry

import (
	"context"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/packed"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// Handle implements peer.Handler.
func (e *Entry) Handle(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	switch body := request.GetBody().(type) {
	case *wire.Request_Heartbeat:
		return e.handleHeartbeat(membership.EntryID(request.GetFrom()), body.Heartbeat), nil
	case *wire.Request_Instances:
		return e.handleInstances(body.Instances), nil
	case *wire.Request_Members:
		return e.knownMembers(), nil
	case *wire.Request_Configuration:
		v := e.inForce.Get()
		return &wire.Response{Body: &wire.Response_Configuration{Configuration: &wire.Configuration{Version: uint64(v.Version), Source: packed.Pack(v.Source)}}}, nil
	case *wire.Request_Slots:
		return e.handleSlots(request.GetFrom(), body.Slots), nil
	case *wire.Request_Ledger:
		return e.serveLedger(ctx, body.Ledger)
	}
	return nil, problem.New(problem.Invalid, problem.StepPeerCall, request.GetFrom(), "unknown type of request")
}
