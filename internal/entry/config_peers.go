package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/telemetry"
)

// fetchRetryDelay is the wait between two attempts to fetch a version that a peer
// reported.
const fetchRetryDelay = 200 * time.Millisecond

// fetchNewerVersions fetches newer configurations that peers report, until ctx
// ends. With no configuration in force it leaves that to the round of heartbeats,
// which compares the versions of all peers first.
func (e *Entry) fetchNewerVersions(ctx context.Context) {
	for {
		seen, changed := e.newest.Watch()
		retry := (<-chan time.Time)(nil)
		if e.inForce.Get().Configuration != nil && !e.catchUp(ctx, seen) {
			retry = e.clock.After(fetchRetryDelay)
		}
		select {
		case <-changed:
		case <-retry:
		case <-ctx.Done():
			return
		}
	}
}

// catchUp fetches the configuration of a peer if it is newer than the one in
// force, and reports whether the one in force is then at least as new.
func (e *Entry) catchUp(ctx context.Context, seen peerVersion) bool {
	if seen.version <= e.inForce.Get().Version {
		return true
	}
	if err := e.fetchConfiguration(ctx, seen.address); err != nil {
		e.log.Warn("configuration not fetched; the one in force stays", telemetry.ProblemFields(err)...)
		return false
	}
	return seen.version <= e.inForce.Get().Version
}

// heartbeatReceived applies a peer's heartbeat and returns this entry's own as the
// answer.
func (e *Entry) heartbeatReceived(theirs membership.Heartbeat) membership.Heartbeat {
	now := e.clock.Now()
	if theirs.Registration != nil && theirs.Registration.ID == theirs.Entry {
		e.members.RecordAnnouncement(*theirs.Registration, now)
	}
	own := e.ownHeartbeat()
	own.Registration = nil // the caller has the address that it called
	own.UnknownSender = !e.applyHeartbeat(theirs)
	if e.inventory.RecordStamp(theirs.Instances) {
		e.notifyPeers() // the exchange fetches the newer list
	}
	if m, ok := e.members.Member(theirs.Entry); ok {
		e.recordPeerVersion(peerVersion{version: theirs.ConfigurationVersion, address: m.PeerAddress})
	}
	return own
}

// recordPeerVersion records that a peer has a version that is newer than the one
// in force. Of several, the newest version stays; of equal ones, the latest report.
func (e *Entry) recordPeerVersion(seen peerVersion) {
	if seen.version <= e.inForce.Get().Version {
		return
	}
	e.newest.Update(func(old peerVersion) (peerVersion, bool) { return seen, seen.version >= old.version && seen != old })
	e.log.Debug("a peer has a newer configuration in force; fetching it", zap.Uint64("version", uint64(seen.version)), zap.String("peer", seen.address))
}
