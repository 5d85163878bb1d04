package entry

import (
	"context"

	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/telemetry"
)

// send carries one batch to its entry and the loans back.
func (k *slotKeeper) send(ctx context.Context, o dispatch.OutgoingBatch) {
	member, ok := k.entry.members.Member(o.To)
	if !ok {
		k.placer.BatchLost(o)
		return
	}
	response, err := k.entry.peers.Call(ctx, member.PeerAddress, &wire.Request{Body: &wire.Request_Slots{Slots: wire.FromSlotBatch(o.Batch)}})
	if err != nil {
		k.entry.log.Debug("slots not exchanged", telemetry.ProblemFields(err)...)
		k.placer.BatchLost(o)
		return
	}
	k.placer.ApplyLoans(o, wire.ToSlotLoans(o.Batch.Reports, response.GetSlots()), k.entry.clock.Now())
}

// handleSlots answers another entry's batch.
func (e *Entry) handleSlots(from string, m *wire.SlotBatch) *wire.Response {
	batch := wire.ToSlotBatch(from, m)
	loans, freed := e.slots.placer.AnswerBatch(batch, e.clock.Now())
	if freed {
		e.slots.press()
	}
	return &wire.Response{Body: &wire.Response_Slots{Slots: wire.FromSlotLoans(batch.Reports, loans)}}
}
