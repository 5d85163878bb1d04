package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/telemetry"
)

// catchUpRetry is the wait between two tries to take over a sighted version.
const catchUpRetry = 200 * time.Millisecond

// chase takes over newer versions that peers told of, until ctx ends. With
// nothing in force it leaves that to the round of heartbeats, which looks at
// all peers first.
func (e *Entry) chase(ctx context.Context) {
	for {
		seen, changed := e.sighted.Watch()
		retry := (<-chan time.Time)(nil)
		if e.inForce.Get().Configuration != nil && !e.catchUp(ctx, seen) {
			retry = e.clock.After(catchUpRetry)
		}
		select {
		case <-changed:
		case <-retry:
		case <-ctx.Done():
			return
		}
	}
}

// catchUp takes over the sighted version if it is newer than what is in force,
// and reports whether what is in force is at least as new now.
func (e *Entry) catchUp(ctx context.Context, seen sighting) bool {
	if seen.version <= e.inForce.Get().Version {
		return true
	}
	if err := e.fetchConfiguration(ctx, seen.address); err != nil {
		e.log.Warn("configuration not fetched; what is in force stays", telemetry.ProblemFields(err)...)
		return false
	}
	return seen.version <= e.inForce.Get().Version
}

// heartbeatReceived takes over what a peer tells and returns the answer.
func (e *Entry) heartbeatReceived(theirs membership.Heartbeat) membership.Heartbeat {
	now := e.clock.Now()
	if theirs.Registration != nil && theirs.Registration.ID == theirs.Entry {
		e.members.RecordAnnouncement(*theirs.Registration, now)
	}
	own := e.ownHeartbeat()
	own.Registration = nil // the asking entry knows where it asked
	own.UnknownSender = !e.heard(theirs)
	if e.inventory.RecordStamp(theirs.Instances) {
		e.tellPeers() // their answers bring the newer list
	}
	if m, ok := e.members.Member(theirs.Entry); ok {
		e.sight(sighting{version: theirs.ConfigurationVersion, address: m.PeerAddress})
	}
	return own
}

// sight notes that a peer has a version; the newest and latest sighting wins.
func (e *Entry) sight(seen sighting) {
	if seen.version <= e.inForce.Get().Version {
		return
	}
	e.sighted.Update(func(old sighting) (sighting, bool) { return seen, seen.version >= old.version && seen != old })
	e.log.Debug("newer configuration sighted", zap.Uint64("version", uint64(seen.version)), zap.String("peer", seen.address))
}
