package replay

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/slots"
)

// callBytes is what one message of a call costs besides its body: the length
// before it and yamux's header, over a stream that is kept.
const callBytes = 4 + 12

// press brings an entry's next round forward.
func (s *simulation) press(e *entry) {
	at := max(s.now, e.lastAt+pressedGap)
	if s.way.Slots == SlotsLent && at < e.nextAt {
		e.nextAt = at
		s.agenda.add(at, func() { s.round(e, at) })
	}
}

// round does what the slot keeper of an entry does, and plans the next one.
// A round that was brought forward makes the planned one void.
func (s *simulation) round(e *entry, at time.Duration) {
	if e.dead || at != e.nextAt {
		return
	}
	e.lastAt = s.now
	e.nextAt = s.now + tickEvery
	s.agenda.add(e.nextAt, func() { s.round(e, s.now) })
	e.placer.Tick(s.time())
	if s.way.Slots != SlotsLent {
		return
	}
	e.rounds++
	s.see(e)
	for _, o := range e.placer.NextBatches(s.time(), e.rounds%routineEvery == 0) {
		s.send(e, o)
	}
}

// see shows an entry the registrations: the dead lapse after their lease.
func (s *simulation) see(e *entry) {
	var members []membership.EntryID
	gone := make(map[membership.EntryID]time.Time)
	for _, other := range s.entries {
		if other.dead && s.now-other.lastAt > leaseTTL {
			gone[other.id] = epoch.Add(other.lastAt + leaseTTL)
			continue
		}
		members = append(members, other.id)
	}
	slices.Sort(members)
	e.placer.SetView(slots.View{Members: members, LastSeen: gone, Clean: true}, s.time())
}

func (s *simulation) send(e *entry, o dispatch.OutgoingBatch) {
	to := s.entry(o.To)
	m := wire.FromSlotBatch(o.Batch)
	s.count(e, to, proto.Size(&wire.Request{From: string(e.id), Body: &wire.Request_Slots{Slots: m}}))
	s.agenda.add(s.now+messageDelay, func() {
		if to.dead {
			s.agenda.add(s.now+2*time.Second, func() { e.placer.BatchLost(o) })
			return
		}
		batch := wire.ToSlotBatch(string(e.id), m)
		loans, freed := to.placer.AnswerBatch(batch, s.time())
		if freed {
			s.press(to)
		}
		answer := wire.FromSlotLoans(batch.Reports, loans)
		s.count(to, e, proto.Size(&wire.Response{Body: &wire.Response_Slots{Slots: answer}}))
		s.agenda.add(s.now+messageDelay, func() {
			if !e.dead {
				e.placer.ApplyLoans(o, wire.ToSlotLoans(o.Batch.Reports, answer), s.time())
			}
		})
	})
}

func (s *simulation) entry(id membership.EntryID) *entry {
	for _, e := range s.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (s *simulation) count(from, to *entry, size int) {
	if s.now < warmUp {
		return
	}
	from.messages++
	from.bytes += size + callBytes
	to.bytes += size + callBytes
}
