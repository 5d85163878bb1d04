package bench

import (
	"context"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/problem"
)

// absentPeers are entries that nobody reaches: the ledger writes by itself.
type absentPeers struct {
	live []string
}

func (p *absentPeers) Live() []string { return p.live }

func (p *absentPeers) Forward(_ context.Context, peer string, _ []ledger.Record) ([]ledger.Reply, error) {
	return nil, problem.New(problem.Unavailable, problem.StepConnect, peer, "absent")
}
