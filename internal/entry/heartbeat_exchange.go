package entry

import (
	"context"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// sendHeartbeat exchanges heartbeats with m. Of what the other side knows by
// its state, only the ages are sent, in either direction.
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
		return theirs, problem.New(problem.Interrupted, problem.StepPeerCall, string(m.ID), "the answer tells a state that was not asked for")
	}
	e.remember(m.ID, answer, theirs)
	e.beats.Acknowledge(m.ID, state)
	return theirs, nil
}

func (e *Entry) callHeartbeat(ctx context.Context, m membership.Member, message *wire.Heartbeat) (*wire.Heartbeat, error) {
	message.Seen = e.beats.KnownState(m.ID)
	response, err := e.peers.Call(ctx, m.PeerAddress, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: message}})
	return response.GetHeartbeat(), err
}

// handleHeartbeat answers the heartbeat of the entry called from.
func (e *Entry) handleHeartbeat(from membership.EntryID, message *wire.Heartbeat) *wire.Response {
	theirs, known := e.toHeartbeat(from, message)
	if !known {
		return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: &wire.Heartbeat{StateUnknown: true}}}
	}
	own, now := e.heartbeatReceived(theirs), e.clock.Now()
	e.remember(from, message, theirs)
	answer := wire.FromHeartbeat(own, now)
	if own.State() == message.GetSeen() {
		answer = wire.FromKnownHeartbeat(own, now)
	}
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: answer}}
}

// toHeartbeat converts a message of the entry called from. It reports false
// when the message tells only a state that is not known here.
func (e *Entry) toHeartbeat(from membership.EntryID, message *wire.Heartbeat) (membership.Heartbeat, bool) {
	h := wire.ToHeartbeat(message, e.clock.Now())
	if message.Whole() {
		return h, true
	}
	known, ok := e.beats.Find(from, message.GetState(), h.Confirmed, h.Instances.ReadAt)
	known.UnknownSender = h.UnknownSender
	return known, ok
}

// remember keeps the heartbeat of a member that came whole.
func (e *Entry) remember(from membership.EntryID, message *wire.Heartbeat, h membership.Heartbeat) {
	if _, member := e.members.Member(from); member && message.Whole() && h.Entry == from {
		e.beats.Put(message.GetState(), h)
	}
}
