package bench

import (
	"context"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/problem"
)

// unreachablePeers are peers to which every call fails, so that the ledger writes
// to the store itself.
type unreachablePeers struct {
	live []string
}

func (p *unreachablePeers) Live() []string { return p.live }

func (p *unreachablePeers) Forward(_ context.Context, peer string, _ []ledger.Record) ([]ledger.Reply, error) {
	return nil, problem.New(problem.Unavailable, problem.StepConnect, peer, "absent")
}
