package ledger_test

import (
	"context"
	"time"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/problem"
)

// peerLatency is the one-way latency between two entries.
const peerLatency = 500 * time.Microsecond

// serveTimeout is the timeout of a forwarded call on the serving entry.
const serveTimeout = 10 * time.Second

// fakePeers is one entry's connection to the others. Its list of live entries
// does not change in a run, so entries go on forwarding to an owner that failed.
type fakePeers struct {
	entry  string
	live   []string
	all    map[string]*ledger.Ledger // complete before the first call
	faults *faults
}

func (p *fakePeers) Live() []string { return p.live }

func (p *fakePeers) Forward(ctx context.Context, peer string, operations []ledger.Record) ([]ledger.Reply, error) {
	if p.faults.waitPaused(p.entry) || p.unreachable(peer) {
		return nil, problem.New(problem.Unavailable, problem.StepConnect, peer, "cut off")
	}
	time.Sleep(peerLatency)
	replies := make(chan []ledger.Reply, 1)
	go p.serve(context.WithoutCancel(ctx), peer, operations, replies) // the serving entry does not see when the caller gives up
	select {
	case r := <-replies:
		if p.faults.waitPaused(p.entry) || p.unreachable(peer) {
			return nil, problem.New(problem.Interrupted, problem.StepPeerCall, peer, "cut off")
		}
		return r, nil
	case <-ctx.Done():
		p.faults.change(func(f *faults) { f.abandonedCalls++ })
		p.faults.waitPaused(p.entry)
		return nil, problem.Wrap(problem.Interrupted, problem.StepPeerCall, peer, ctx.Err())
	}
}

func (p *fakePeers) unreachable(peer string) bool {
	return p.faults.get(func(f *faults) bool { return f.killed[peer] || f.cutOff[peer] || f.cutOff[p.entry] })
}

func (p *fakePeers) serve(ctx context.Context, peer string, operations []ledger.Record, replies chan<- []ledger.Reply) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	p.faults.waitPaused(peer)
	r := p.all[peer].Serve(ctx, operations)
	p.faults.waitPaused(peer)
	time.Sleep(peerLatency)
	replies <- r
}
