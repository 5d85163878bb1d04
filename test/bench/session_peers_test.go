package bench

import (
	"context"
	"sync/atomic"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// sessionPeers calls the other ledgers of this process over yamux sessions, as
// entries do, and serves calls to its own ledger. It counts the outgoing calls.
type sessionPeers struct {
	client    *peer.Client
	live      []string
	addresses map[string]string // by entry; complete before the first call
	own       *ledger.Ledger
	calls     *atomic.Int64
}

func (p *sessionPeers) Live() []string { return p.live }

func (p *sessionPeers) Forward(ctx context.Context, owner string, operations []ledger.Record) ([]ledger.Reply, error) {
	p.calls.Add(1)
	response, err := p.client.Call(ctx, p.addresses[owner], &wire.Request{Body: &wire.Request_Ledger{Ledger: &wire.LedgerOperations{Operations: wire.FromLedgerRecords(operations)}}})
	if err != nil {
		return nil, err
	}
	return wire.ToLedgerReplies(owner, response.GetLedger()), nil
}

// Handle implements peer.Handler.
func (p *sessionPeers) Handle(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	if request.GetLedger() == nil {
		return nil, problem.New(problem.Invalid, problem.StepPeerCall, request.GetFrom(), "unknown request")
	}
	operations, err := wire.ToLedgerRecords(request.GetLedger().GetOperations())
	if err != nil {
		return nil, err
	}
	replies := p.own.Serve(ctx, operations)
	return &wire.Response{Body: &wire.Response_Ledger{Ledger: wire.FromLedgerReplies(replies)}}, nil
}
