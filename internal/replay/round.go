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

// callBytes is the overhead of one message of a call besides its body: its
// length prefix and a yamux header. Streams are reused, so opening one costs nothing.
const callBytes = 4 + 12

// expediteRound moves an entry's next round to the earliest time allowed.
func (s *simulation) expediteRound(e *entry) {
	at := max(s.now, e.lastAt+minRoundInterval)
	if s.variant.Slots == SlotsLent && at < e.nextAt {
		e.nextAt = at
		s.events.schedule(at, func() { s.round(e, at) })
	}
}

// round does one step of slot lending for an entry, as the entry's slot keeper
// does, and schedules the next round. A round whose time is no longer nextAt was
// replaced by an expedited one and does nothing.
func (s *simulation) round(e *entry, at time.Duration) {
	if e.dead || at != e.nextAt {
		return
	}
	e.lastAt = s.now
	e.nextAt = s.now + roundInterval
	s.events.schedule(e.nextAt, func() { s.round(e, s.now) })
	e.placer.Tick(s.time())
	if s.variant.Slots != SlotsLent {
		return
	}
	e.rounds++
	s.updateView(e)
	for _, o := range e.placer.NextBatches(s.time(), e.rounds%routineRounds == 0) {
		s.send(e, o)
	}
}

// updateView passes the registered members to an entry's placer. The registration
// of a dead entry expires with its lease.
func (s *simulation) updateView(e *entry) {
	var members []membership.EntryID
	lastSeen := make(map[membership.EntryID]time.Time)
	for _, other := range s.entries {
		if other.dead && s.now-other.lastAt > leaseTTL {
			lastSeen[other.id] = epoch.Add(other.lastAt + leaseTTL)
			continue
		}
		members = append(members, other.id)
	}
	slices.Sort(members)
	e.placer.SetView(slots.View{Members: members, LastSeen: lastSeen, NoPredecessor: true}, s.time())
}

// send delivers a batch of slot reports to its home entry and the reply back. A
// batch to a dead entry fails after 2 s.
func (s *simulation) send(e *entry, o dispatch.OutgoingBatch) {
	to := s.entry(o.To)
	m := wire.FromSlotBatch(o.Batch)
	s.count(e, to, proto.Size(&wire.Request{From: string(e.id), Body: &wire.Request_Slots{Slots: m}}))
	s.events.schedule(s.now+messageDelay, func() {
		if to.dead {
			s.events.schedule(s.now+2*time.Second, func() { e.placer.BatchLost(o) })
			return
		}
		batch := wire.ToSlotBatch(string(e.id), m)
		loans, freed := to.placer.AnswerBatch(batch, s.time())
		if freed {
			s.expediteRound(to)
		}
		reply := wire.FromSlotLoans(batch.Reports, loans)
		s.count(to, e, proto.Size(&wire.Response{Body: &wire.Response_Slots{Slots: reply}}))
		s.events.schedule(s.now+messageDelay, func() {
			if !e.dead {
				e.placer.ApplyLoans(o, wire.ToSlotLoans(o.Batch.Reports, reply), s.time())
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

// count adds one control message to the traffic of both entries, except during
// the warm-up.
func (s *simulation) count(from, to *entry, size int) {
	if s.now < warmUp {
		return
	}
	from.messages++
	from.bytes += size + callBytes
	to.bytes += size + callBytes
}
