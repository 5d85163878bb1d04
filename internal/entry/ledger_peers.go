package entry

import (
	"context"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// ledgerPeers sends calls to the other entries' ledgers. It has no state of its
// own.
type ledgerPeers struct {
	entry *Entry
}

var _ ledger.Peers = (*ledgerPeers)(nil)

// Live implements ledger.Peers. Entries that are leaving own no shard. While this
// entry is leaving, it counts itself only if there is no other.
func (p *ledgerPeers) Live() []string {
	e := p.entry
	var live []string
	now := e.clock.Now()
	for _, m := range e.members.Members() {
		if !m.Leaving && m.Alive(now, e.settings.Membership.SuspectAfter) {
			live = append(live, string(m.ID))
		}
	}
	if len(live) == 0 || !e.health.Get().leaving {
		live = append(live, e.settings.ID)
	}
	return live
}

// Forward implements ledger.Peers.
func (p *ledgerPeers) Forward(ctx context.Context, peer string, operations []ledger.Record) ([]ledger.Reply, error) {
	m, ok := p.entry.members.Member(membership.EntryID(peer))
	if !ok {
		return nil, problem.New(problem.Unavailable, problem.StepPeerCall, peer, "not a known member")
	}
	request := &wire.Request{Body: &wire.Request_Ledger{Ledger: &wire.LedgerOperations{Operations: wire.FromLedgerRecords(operations)}}}
	response, err := p.entry.peers.Call(ctx, m.PeerAddress, request)
	if err != nil {
		return nil, err
	}
	return wire.ToLedgerReplies(peer, response.GetLedger()), nil
}
