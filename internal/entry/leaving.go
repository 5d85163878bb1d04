package entry

import (
	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/routing"
)

// upstreamLeaving marks an instance that announced in an answer that it is
// leaving, and notifies the other entries.
func (e *Entry) upstreamLeaving(instance string) {
	if e.markLeaving(routing.LeavingMark{Instance: instance, ReceivedAt: e.clock.Now()}, e.settings.ID) {
		e.notifyPeers()
	}
}

// applyHeartbeat applies a received heartbeat and reports whether its sender is a
// known member.
func (e *Entry) applyHeartbeat(h membership.Heartbeat) (known bool) {
	known = e.members.RecordHeartbeat(h, h.SentAt)
	for _, m := range h.LeavingUpstreams {
		e.markLeaving(m, string(h.Entry))
	}
	return known
}

func (e *Entry) markLeaving(m routing.LeavingMark, from string) (changed bool) {
	if changed = e.routes.MarkLeaving(m, e.clock.Now()); changed {
		e.log.Info("upstream instance announced that it is leaving; no new work is placed on it", zap.String("instance", m.Instance), zap.String("heardFrom", from))
	}
	return changed
}
