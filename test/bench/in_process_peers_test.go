package bench

import (
	"context"
	"time"

	"persimmonbay/internal/ledger"
)

// peerHop is the one-way latency between two entries.
const peerHop = 300 * time.Microsecond

// inProcessPeers calls the other ledgers of this process directly, with a
// simulated latency.
type inProcessPeers struct {
	live []string
	all  map[string]*ledger.Ledger
}

func (p *inProcessPeers) Live() []string { return p.live }

func (p *inProcessPeers) Forward(ctx context.Context, peer string, operations []ledger.Record) ([]ledger.Reply, error) {
	time.Sleep(peerHop)
	replies := p.all[peer].Serve(ctx, operations)
	time.Sleep(peerHop)
	return replies, nil
}
