package entry

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/telemetry"
)

// heartbeat exchanges heartbeats with every member until ctx ends.
func (e *Entry) heartbeat(ctx context.Context) {
	for {
		e.heartbeatOnce(ctx)
		select {
		case <-e.clock.After(e.settings.Membership.Heartbeat):
		case <-ctx.Done():
			return
		}
	}
}

// heartbeatTimeout bounds one exchange, so that a dead member does not delay
// the next round with the others.
const heartbeatTimeout = time.Second

func (e *Entry) heartbeatOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reached := shard.NewCell(false)
	var calls sync.WaitGroup
	for _, m := range e.members.Members() {
		calls.Go(func() {
			if e.exchangeHeartbeat(ctx, m) {
				reached.Update(func(bool) (bool, bool) { return true, true })
			}
		})
	}
	calls.Wait()
	e.health.Update(func(h health) (health, bool) { h.peerReachable = reached.Get(); return h, true })
	e.members.Forget(e.clock.Now())
	e.routes.Refresh(e.clock.Now())
}

// exchangeHeartbeat reports whether m answered, and takes over what it has
// newer.
func (e *Entry) exchangeHeartbeat(ctx context.Context, m membership.Member) bool {
	response, err := e.peers.Call(ctx, m.PeerAddress, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: wire.FromHeartbeat(e.ownHeartbeat())}})
	if err != nil {
		e.log.Debug("heartbeat failed", telemetry.ProblemFields(err)...)
		return false
	}
	theirs := wire.ToHeartbeat(response.GetHeartbeat())
	if theirs.Entry != m.ID {
		return false // another entry lives at that address now
	}
	e.heard(theirs)
	if theirs.ConfigurationVersion > e.inForce.Get().Version {
		e.fetchConfiguration(ctx, m)
	}
	return true
}

func (e *Entry) ownHeartbeat() membership.Heartbeat {
	h := e.health.Get()
	return membership.Heartbeat{
		Entry:                membership.EntryID(e.settings.ID),
		ConfigurationVersion: e.inForce.Get().Version,
		Leaving:              h.leaving,
		StoreReachable:       h.storeReachable,
		LeavingUpstreams:     e.routes.Marks(e.clock.Now()),
	}
}
