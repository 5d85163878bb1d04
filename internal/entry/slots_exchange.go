package entry

import (
	"context"

	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/telemetry"
)

// send sends one batch to its entry and passes the loans in the answer to the
// placer, or the loss of the batch when there is no answer.
func (sm *slotManager) send(ctx context.Context, o dispatch.OutgoingBatch) {
	member, ok := sm.entry.members.Member(o.To)
	if !ok {
		sm.placer.BatchLost(o)
		return
	}
	response, err := sm.entry.peers.Call(ctx, member.PeerAddress, &wire.Request{Body: &wire.Request_Slots{Slots: wire.FromSlotBatch(o.Batch)}})
	if err != nil {
		sm.entry.log.Debug("could not exchange slots with a peer; the batch counts as lost", telemetry.ProblemFields(err)...)
		sm.placer.BatchLost(o)
		return
	}
	sm.placer.ApplyLoans(o, wire.ToSlotLoans(o.Batch.Reports, response.GetSlots()), sm.entry.clock.Now())
}

// handleSlots answers another entry's batch.
func (e *Entry) handleSlots(from string, m *wire.SlotBatch) *wire.Response {
	batch := wire.ToSlotBatch(from, m)
	loans, freed := e.slots.placer.AnswerBatch(batch, e.clock.Now())
	if freed {
		e.slots.requestRound()
	}
	return &wire.Response{Body: &wire.Response_Slots{Slots: wire.FromSlotLoans(batch.Reports, loans)}}
}
