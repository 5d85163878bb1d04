package entry

import (
	"context"
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// sendHeartbeat exchanges heartbeats with m. When the receiver already has the
// sender's state, only the ages are sent, in either direction.
func (e *Entry) sendHeartbeat(ctx context.Context, m membership.Member, own membership.Heartbeat) (membership.Heartbeat, error) {
	now, state := e.clock.Now(), own.State()
	message := wire.FromHeartbeat(own, now)
	if e.beats.Acknowledged(m.ID, state) {
		message = wire.FromKnownHeartbeat(own, now)
	}
	answer, err := e.callHeartbeat(ctx, m, message)
	if err == nil && answer.GetStateUnknown() {
		answer, err = e.callHeartbeat(ctx, m, wire.FromHeartbeat(own, e.clock.Now()))
	}
	if err != nil {
		return membership.Heartbeat{}, err
	}
	theirs, known := e.toHeartbeat(m.ID, answer)
	if !known {
		return theirs, problem.New(problem.Interrupted, problem.StepPeerCall, string(m.ID), "the answer refers to a heartbeat state that this entry does not have")
	}
	e.storeHeartbeat(m.ID, answer, theirs)
	e.beats.Acknowledge(m.ID, state)
	return theirs, nil
}

func (e *Entry) callHeartbeat(ctx context.Context, m membership.Member, message *wire.Heartbeat) (*wire.Heartbeat, error) {
	message.Seen = e.beats.KnownState(m.ID)
	response, err := e.peers.Call(ctx, m.PeerAddress, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: message}})
	return response.GetHeartbeat(), err
}

// handleHeartbeat answers the heartbeat of the entry with ID from.
func (e *Entry) handleHeartbeat(from membership.EntryID, message *wire.Heartbeat) *wire.Response {
	theirs, known := e.toHeartbeat(from, message)
	if !known {
		return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: &wire.Heartbeat{StateUnknown: true}}}
	}
	own, now := e.heartbeatReceived(theirs), e.clock.Now()
	e.storeHeartbeat(from, message, theirs)
	answer := wire.FromHeartbeat(own, now)
	if own.State() == message.GetSeen() {
		answer = wire.FromKnownHeartbeat(own, now)
	}
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: answer}}
}

// toHeartbeat converts a message of the entry with ID from. It reports false when
// the message only refers to a state that this entry does not have.
func (e *Entry) toHeartbeat(from membership.EntryID, message *wire.Heartbeat) (membership.Heartbeat, bool) {
	h := wire.ToHeartbeat(message, e.heartbeatSentAt(from, message))
	if message.IsComplete() {
		return h, true
	}
	known, ok := e.beats.Find(from, message.GetState(), h.Confirmed, h.Instances.ReadAt)
	known.UnknownSender, known.SentAt = h.UnknownSender, h.SentAt
	return known, ok
}

// heartbeatSentAt returns when a message of the entry with ID from was sent, by this
// entry's clock. It may have lain in a buffer while this process was paused.
func (e *Entry) heartbeatSentAt(from membership.EntryID, message *wire.Heartbeat) time.Time {
	now, incarnation := e.clock.Now(), e.beats.KnownIncarnation(from)
	if message.GetEntry() != "" {
		from, incarnation = membership.EntryID(message.GetEntry()), message.GetIncarnation()
	}
	if message == nil || message.UptimeMillis == nil || incarnation == 0 {
		return now
	}
	return e.beats.SentAt(from, incarnation, time.Duration(message.GetUptimeMillis())*time.Millisecond, now)
}

// storeHeartbeat stores a member's heartbeat if the message holds all of it, so
// that later messages can refer to its state.
func (e *Entry) storeHeartbeat(from membership.EntryID, message *wire.Heartbeat, h membership.Heartbeat) {
	if _, member := e.members.Member(from); member && message.IsComplete() && h.Entry == from {
		e.beats.Put(message.GetState(), h)
	}
}
