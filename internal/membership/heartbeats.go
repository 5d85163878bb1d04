package membership

import (
	"time"

	"persimmonbay/internal/shard"
)

// Heartbeats holds the latest full heartbeat of each entry, and which state of this
// entry each other entry has acknowledged, so that regular heartbeats need only
// contain their state (a digest, see Heartbeat.State) and ages, and the clock of each
// entry, by which the delay of its heartbeats is known. It is split into shards by entry. A heartbeat and its state are stored under one lock, so they
// always match.
type Heartbeats struct {
	known        *shard.Map[EntryID, knownHeartbeat]
	acknowledged *shard.Map[EntryID, uint64]
	clocks       *shard.Map[EntryID, senderClock]
}

// NewHeartbeats returns an empty set of heartbeats.
func NewHeartbeats() *Heartbeats {
	return &Heartbeats{known: shard.NewMapOf[EntryID, knownHeartbeat](8), acknowledged: shard.NewMapOf[EntryID, uint64](8),
		clocks: shard.NewMapOf[EntryID, senderClock](8)}
}

// Put stores a full heartbeat with its state.
func (h *Heartbeats) Put(state uint64, heartbeat Heartbeat) {
	heartbeat.UnknownSender = false
	h.known.Set(heartbeat.Entry, knownHeartbeat{state: state, heartbeat: heartbeat})
}

// Find returns the heartbeat of an entry that has the given state, with the given
// newer ages, or false if that state is not stored.
func (h *Heartbeats) Find(id EntryID, state uint64, confirmed, listRead time.Time) (Heartbeat, bool) {
	k, ok := h.known.Get(id)
	if !ok || k.state != state {
		return Heartbeat{}, false
	}
	return k.heartbeat.Aged(confirmed, listRead), true
}

// KnownState returns the state stored for an entry, or 0 for none.
func (h *Heartbeats) KnownState(id EntryID) uint64 {
	k, _ := h.known.Get(id)
	return k.state
}

// KnownIncarnation returns the incarnation of the heartbeat stored for an entry, or 0
// for none.
func (h *Heartbeats) KnownIncarnation(id EntryID) uint64 {
	k, _ := h.known.Get(id)
	return k.heartbeat.Incarnation
}

// SentAt returns when an entry sent a message that is read at now, by this entry's
// clock. uptime is the time since the start of the sending incarnation when the message
// was sent. Of a message that is the first of its incarnation, the delay is not known.
func (h *Heartbeats) SentAt(id EntryID, incarnation uint64, uptime time.Duration, now time.Time) time.Time {
	sentAt := now
	h.clocks.Update(id, func(c senderClock, _ bool) (senderClock, bool) {
		c, sentAt = c.observe(incarnation, uptime, now)
		return c, true
	})
	return sentAt
}

// Acknowledge records that the entry by knows the given state of this entry.
func (h *Heartbeats) Acknowledge(by EntryID, state uint64) { h.acknowledged.Set(by, state) }

// Acknowledged reports whether the given state is the latest that the entry by has
// acknowledged.
func (h *Heartbeats) Acknowledged(by EntryID, state uint64) bool {
	known, ok := h.acknowledged.Get(by)
	return ok && known == state
}

// Retain removes the data of all entries for which member returns false.
func (h *Heartbeats) Retain(member func(EntryID) bool) {
	h.known.Range(func(id EntryID, _ knownHeartbeat) bool {
		if !member(id) {
			h.known.Delete(id)
		}
		return true
	})
	h.acknowledged.Range(func(id EntryID, _ uint64) bool {
		if !member(id) {
			h.acknowledged.Delete(id)
		}
		return true
	})
	h.clocks.Range(func(id EntryID, _ senderClock) bool {
		if !member(id) {
			h.clocks.Delete(id)
		}
		return true
	})
}
