package membership

import (
	"time"

	"persimmonbay/internal/shard"
)

// Heartbeats remembers the latest heartbeat that each entry sent whole, and
// which state of this entry each has acknowledged, so that regular heartbeats
// need only tell their state and ages. It is kept in shards by entry; each lock
// guards that a heartbeat and its state belong together.
type Heartbeats struct {
	known        *shard.Map[EntryID, knownHeartbeat]
	acknowledged *shard.Map[EntryID, uint64]
}

// NewHeartbeats returns an empty memory.
func NewHeartbeats() *Heartbeats {
	return &Heartbeats{known: shard.NewMapOf[EntryID, knownHeartbeat](8), acknowledged: shard.NewMapOf[EntryID, uint64](8)}
}

// Put keeps a heartbeat that was sent whole, with its sender's state.
func (h *Heartbeats) Put(state uint64, heartbeat Heartbeat) {
	heartbeat.UnknownSender = false
	h.known.Set(heartbeat.Entry, knownHeartbeat{state: state, heartbeat: heartbeat})
}

// Find returns the heartbeat of an entry that has the state, with newer ages;
// false when that state is not known here.
func (h *Heartbeats) Find(of EntryID, state uint64, confirmed, listRead time.Time) (Heartbeat, bool) {
	k, ok := h.known.Get(of)
	if !ok || k.state != state {
		return Heartbeat{}, false
	}
	return k.heartbeat.Aged(confirmed, listRead), true
}

// KnownState returns the latest state known of an entry; 0 for none.
func (h *Heartbeats) KnownState(of EntryID) uint64 {
	k, _ := h.known.Get(of)
	return k.state
}

// Acknowledge notes that an entry knows this state of this entry.
func (h *Heartbeats) Acknowledge(by EntryID, state uint64) { h.acknowledged.Set(by, state) }

// Acknowledged reports whether an entry is known to know this state.
func (h *Heartbeats) Acknowledged(by EntryID, state uint64) bool {
	known, ok := h.acknowledged.Get(by)
	return ok && known == state
}

// Retain drops what was remembered of entries that are no members any more.
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
}
