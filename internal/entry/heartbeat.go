package entry

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/telemetry"
)

// heartbeat exchanges heartbeats with every member until ctx ends.
func (e *Entry) heartbeat(ctx context.Context) {
	spared := everyone
	for {
		_, changed := e.changed.Watch()
		e.heartbeatRound(ctx, spared)
		spared = e.rests
		select {
		case <-changed:
			spared = everyone // what changed is to be known at once
		case <-e.clock.After(e.settings.Membership.Heartbeat):
		case <-ctx.Done():
			return
		}
	}
}

// heartbeatTimeout bounds a round of exchanges, so that a dead member does not
// delay the next one with the others.
const heartbeatTimeout = time.Second

// tellPeers has the next heartbeats sent at once.
func (e *Entry) tellPeers() {
	e.changed.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// heartbeatRound asks every member once, but for the spared. An entry with nothing in force takes
// the newest of all answers, never that of whoever answers first.
func (e *Entry) heartbeatRound(ctx context.Context, spared func(membership.Member) bool) {
	e.askSeeds(ctx)
	newest, reached := e.exchangeHeartbeats(ctx, spared)
	current := reached && e.catchUp(ctx, newest)
	e.health.Update(func(h health) (health, bool) {
		changed := h.currentByPeers != current
		h.currentByPeers = current
		return h, changed
	})
	e.members.Forget(e.clock.Now())
	e.beats.Retain(func(id membership.EntryID) bool {
		_, member := e.members.Member(id)
		return member
	})
	e.routes.Refresh(e.clock.Now())
}

// exchangeHeartbeats returns the newest version among the members that
// answered or are spared, and whether there is any.
func (e *Entry) exchangeHeartbeats(ctx context.Context, spared func(membership.Member) bool) (newest sighting, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	best := shard.NewCell(sighting{})
	answered := shard.NewCell(false)
	own := e.ownHeartbeat()
	var calls sync.WaitGroup
	for _, m := range e.members.Members() {
		calls.Go(func() {
			seen := sighting{version: m.ConfigurationVersion, address: m.PeerAddress}
			if !spared(m) {
				theirs, ok := e.exchangeHeartbeat(ctx, m, own)
				if !ok {
					return
				}
				seen.version = theirs.ConfigurationVersion
			}
			answered.Update(func(bool) (bool, bool) { return true, true })
			best.Update(func(old sighting) (sighting, bool) { return seen, seen.version > old.version })
		})
	}
	calls.Wait()
	return best.Get(), answered.Get()
}

// exchangeHeartbeat returns the answer of m to the heartbeat of this entry and
// whether there was one.
func (e *Entry) exchangeHeartbeat(ctx context.Context, m membership.Member, own membership.Heartbeat) (membership.Heartbeat, bool) {
	theirs, err := e.sendHeartbeat(ctx, m, own)
	if err == nil && theirs.UnknownSender {
		own.Registration = e.ownRegistration()
		theirs, err = e.sendHeartbeat(ctx, m, own)
	}
	if err != nil {
		e.log.Debug("heartbeat failed", telemetry.ProblemFields(err)...)
		return theirs, false
	}
	if theirs.Entry != m.ID {
		return theirs, false // another entry lives at that address now
	}
	e.heard(theirs)
	if e.inventory.RecordStamp(theirs.Instances) {
		e.fetchInstances(ctx, m)
	}
	return theirs, true
}

// ownHeartbeat carries this entry's registration while the store cannot show
// it to the others.
func (e *Entry) ownHeartbeat() membership.Heartbeat {
	h := e.health.Get()
	own := membership.Heartbeat{
		Entry:                membership.EntryID(e.settings.ID),
		ConfigurationVersion: e.inForce.Get().Version,
		Leaving:              h.leaving,
		StoreReachable:       h.storeReachable,
		Confirmed:            e.slots.standing.Get().confirmed,
		MaintenanceRevision:  e.control.acknowledged(),
		Incarnation:          e.incarnation,
		LeavingUpstreams:     e.routes.Marks(e.clock.Now()),
		Instances:            e.inventory.Get().Stamp,
	}
	if !h.storeReachable {
		own.Registration = e.ownRegistration()
	}
	return own
}

func (e *Entry) ownRegistration() *membership.Registration {
	addresses := e.advertised()
	return &membership.Registration{
		ID:               membership.EntryID(e.settings.ID),
		PeerAddress:      addresses.Peers,
		OperatorAddress:  addresses.Operators,
		AvailabilityZone: e.settings.AvailabilityZone,
	}
}
