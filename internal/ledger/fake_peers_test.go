package ledger_test

import (
	"context"
	"time"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/problem"
)

// peerLatency is the time of one way between two entries.
const peerLatency = 500 * time.Microsecond

// serveTimeout bounds the work of the other side.
const serveTimeout = 10 * time.Second

// fakePeers is one entry's way to the others. Its list of live entries does
// not change in a run, so that owners fail without being noticed.
type fakePeers struct {
	entry  string
	live   []string
	all    map[string]*ledger.Ledger // complete before the first call
	faults *faults
}

func (p *fakePeers) Live() []string { return p.live }

func (p *fakePeers) Forward(ctx context.Context, peer string, operations []ledger.Record) ([]ledger.Reply, error) {
	if p.faults.stop(p.entry) || p.unreachable(peer) {
		return nil, problem.New(problem.Unavailable, problem.StepConnect, peer, "cut off")
	}
	time.Sleep(peerLatency)
	replies := make(chan []ledger.Reply, 1)
	go p.serve(context.WithoutCancel(ctx), peer, operations, replies) // the other side does not know when this one gives up
	select {
	case r := <-replies:
		if p.faults.stop(p.entry) || p.unreachable(peer) {
			return nil, problem.New(problem.Interrupted, problem.StepPeerCall, peer, "cut off")
		}
		return r, nil
	case <-ctx.Done():
		p.faults.change(func(f *faults) { f.givenUp++ })
		p.faults.stop(p.entry)
		return nil, problem.Wrap(problem.Interrupted, problem.StepPeerCall, peer, ctx.Err())
	}
}

func (p *fakePeers) unreachable(peer string) bool {
	return p.faults.get(func(f *faults) bool { return f.killed[peer] || f.cut[peer] || f.cut[p.entry] })
}

func (p *fakePeers) serve(ctx context.Context, peer string, operations []ledger.Record, replies chan<- []ledger.Reply) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	p.faults.stop(peer)
	r := p.all[peer].Serve(ctx, operations)
	p.faults.stop(peer)
	time.Sleep(peerLatency)
	replies <- r
}
