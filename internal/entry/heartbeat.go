package entry

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/telemetry"
)

// heartbeat exchanges heartbeats with the members until ctx ends: in each interval
// with those that skipsHeartbeat does not exempt, and at once with all when
// something has changed.
func (e *Entry) heartbeat(ctx context.Context) {
	skip := skipNone
	for {
		_, changed := e.changes.Watch()
		e.heartbeatRound(ctx, skip)
		skip = e.skipsHeartbeat
		select {
		case <-changed:
			skip = skipNone // every member is to learn of the change at once
		case <-e.clock.After(e.settings.Membership.Heartbeat):
		case <-ctx.Done():
			return
		}
	}
}

// heartbeatTimeout bounds a round of exchanges, so that a dead member does not
// delay the next round with the others.
const heartbeatTimeout = time.Second

// notifyPeers makes the next heartbeats go out at once.
func (e *Entry) notifyPeers() {
	e.changes.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// heartbeatRound exchanges one heartbeat with every member that skip does not
// exempt. An entry without a configuration in force fetches the newest version
// among all answers, not that of the first.
func (e *Entry) heartbeatRound(ctx context.Context, skip func(membership.Member) bool) {
	e.querySeeds(ctx)
	newest, reached := e.exchangeHeartbeats(ctx, skip)
	current := reached && e.catchUp(ctx, newest)
	e.health.Update(func(h health) (health, bool) {
		changed := h.currentByPeers != current
		h.currentByPeers = current
		return h, changed
	})
	e.members.RemoveExpired(e.clock.Now())
	e.beats.Retain(func(id membership.EntryID) bool {
		_, member := e.members.Member(id)
		return member
	})
	e.routes.Refresh(e.clock.Now())
}

// exchangeHeartbeats returns the newest version among the members that answered
// or are skipped, and whether there are any such members.
func (e *Entry) exchangeHeartbeats(ctx context.Context, skip func(membership.Member) bool) (newest peerVersion, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	best := shard.NewCell(peerVersion{})
	answered := shard.NewCell(false)
	own := e.ownHeartbeat()
	var calls sync.WaitGroup
	for _, m := range e.members.Members() {
		calls.Go(func() {
			seen := peerVersion{version: m.ConfigurationVersion, address: m.PeerAddress}
			if !skip(m) {
				theirs, ok := e.exchangeHeartbeat(ctx, m, own)
				if !ok {
					return
				}
				seen.version = theirs.ConfigurationVersion
			}
			answered.Update(func(bool) (bool, bool) { return true, true })
			best.Update(func(old peerVersion) (peerVersion, bool) { return seen, seen.version > old.version })
		})
	}
	calls.Wait()
	return best.Get(), answered.Get()
}

// exchangeHeartbeat sends this entry's heartbeat to m, with its registration if
// m does not know this entry. It applies and returns the answer, and reports
// whether there was one from m.
func (e *Entry) exchangeHeartbeat(ctx context.Context, m membership.Member, own membership.Heartbeat) (membership.Heartbeat, bool) {
	theirs, err := e.sendHeartbeat(ctx, m, own)
	if err == nil && theirs.UnknownSender {
		own.Registration = e.ownRegistration()
		theirs, err = e.sendHeartbeat(ctx, m, own)
	}
	if err != nil {
		e.log.Debug("heartbeat exchange with a member failed; it is tried again in the next round", telemetry.ProblemFields(err)...)
		return theirs, false
	}
	if theirs.Entry != m.ID {
		return theirs, false // another entry listens at that address now
	}
	e.applyHeartbeat(theirs)
	if e.inventory.RecordStamp(theirs.Instances) {
		e.fetchInstances(ctx, m)
	}
	return theirs, true
}

// ownHeartbeat returns the heartbeat of this entry. It includes the registration
// while the store is unreachable, since the others cannot read it there.
func (e *Entry) ownHeartbeat() membership.Heartbeat {
	h := e.health.Get()
	own := membership.Heartbeat{
		Entry:                membership.EntryID(e.settings.ID),
		ConfigurationVersion: e.inForce.Get().Version,
		Leaving:              h.leaving,
		StoreReachable:       h.storeReachable,
		Confirmed:            e.slots.registration.Get().confirmed,
		MaintenanceRevision:  e.control.acknowledged(),
		Incarnation:          e.incarnation,
		StartedAt:            e.startedAt,
		LeavingUpstreams:     e.routes.LeavingMarks(e.clock.Now()),
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
