package entry

import (
	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/routing"
)

// upstreamLeaving takes an instance at its own word that it is leaving, and
// has the other entries told.
func (e *Entry) upstreamLeaving(instance string) {
	if e.markLeaving(routing.LeavingMark{Instance: instance, ReceivedAt: e.clock.Now()}, e.settings.ID) {
		e.tellPeers()
	}
}

// heard takes over what a heartbeat tells and reports whether its sender is
// known.
func (e *Entry) heard(h membership.Heartbeat) (known bool) {
	known = e.members.RecordHeartbeat(h, e.clock.Now())
	for _, m := range h.LeavingUpstreams {
		e.markLeaving(m, string(h.Entry))
	}
	return known
}

func (e *Entry) markLeaving(m routing.LeavingMark, from string) (news bool) {
	if news = e.routes.Mark(m, e.clock.Now()); news {
		e.log.Info("upstream leaving by its own word", zap.String("instance", m.Instance), zap.String("heardFrom", from))
	}
	return news
}
