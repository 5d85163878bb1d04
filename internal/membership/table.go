package membership

import (
	"sort"
	"time"

	"persimmonbay/internal/shard"
)

// expiryAge is how long an unregistered member without heartbeats stays in the
// table.
const expiryAge = time.Minute

// Table holds what this entry knows about the other entries, in shards by ID. A
// member stays while it is registered in the store or sends heartbeats, so an
// outage of the store removes no member.
type Table struct {
	self    EntryID
	members *shard.Map[EntryID, Member]
}

// NewTable returns an empty table for the entry self.
func NewTable(self EntryID) *Table {
	return &Table{self: self, members: shard.NewMapOf[EntryID, Member](8)}
}

// Register records a registration read from the store. It ignores self.
func (t *Table) Register(r Registration) {
	if r.ID == t.self {
		return
	}
	t.members.Update(r.ID, func(m Member, _ bool) (Member, bool) {
		m = relocated(m, r)
		m.Registered = true
		return m, true
	})
}

// Unregister records that a registration was removed from the store.
func (t *Table) Unregister(id EntryID) {
	t.members.Update(id, func(m Member, ok bool) (Member, bool) {
		m.Registered = false
		return m, ok
	})
}

// UnregisterExcept unregisters every member that is not in registered.
func (t *Table) UnregisterExcept(registered map[EntryID]bool) {
	t.members.Range(func(id EntryID, _ Member) bool {
		if !registered[id] {
			t.Unregister(id)
		}
		return true
	})
}

// AddReported adds a member that a peer reported. It is not Registered, so
// RemoveExpired removes it unless it sends heartbeats. A known member keeps its
// addresses.
func (t *Table) AddReported(r Registration, now time.Time) {
	t.admit(r, func(m Member, ok bool) Member {
		if !ok {
			m = relocated(m, r)
		}
		m.ReportedAt = now
		return m
	})
}

// RecordAnnouncement records the registration that an entry sent itself. Its
// addresses take precedence over those in the store, which may date from before a
// restart.
func (t *Table) RecordAnnouncement(r Registration, now time.Time) {
	t.admit(r, func(m Member, _ bool) Member {
		m = relocated(m, r)
		m.ReportedAt = now
		return m
	})
}

// admit updates or adds a member, unless r is of self or incomplete.
func (t *Table) admit(r Registration, change func(m Member, ok bool) Member) {
	if r.ID == t.self || r.ID == "" || r.PeerAddress == "" {
		return
	}
	t.members.Update(r.ID, func(m Member, ok bool) (Member, bool) { return change(m, ok), true })
}

// relocated returns m with the ID, the addresses and the zone of r.
func relocated(m Member, r Registration) Member {
	m.ID, m.PeerAddress, m.OperatorAddress = r.ID, r.PeerAddress, r.OperatorAddress
	m.AvailabilityZone = r.AvailabilityZone
	return m
}

// RecordHeartbeat records a heartbeat sent at sentAt and reports whether its
// sender is known. Within one incarnation a heartbeat that was sent before the latest
// one changes nothing: after a pause of this process several are read at once. Within one incarnation the configuration version never
// decreases, since heartbeats may arrive out of order. After a restart, the version
// in the heartbeat applies.
func (t *Table) RecordHeartbeat(h Heartbeat, sentAt time.Time) bool {
	known := false
	t.members.Update(h.Entry, func(m Member, ok bool) (Member, bool) {
		known = ok
		if !ok || h.Incarnation < m.Incarnation {
			return m, ok
		}
		if h.Incarnation == m.Incarnation && sentAt.Before(m.LastHeartbeat) {
			return m, true
		}
		if h.Incarnation == m.Incarnation {
			h.ConfigurationVersion = max(h.ConfigurationVersion, m.ConfigurationVersion)
		}
		m.Incarnation, m.ConfigurationVersion = h.Incarnation, h.ConfigurationVersion
		m.MaintenanceRevision = h.MaintenanceRevision
		m.Leaving, m.StoreReachable, m.Confirmed, m.LastHeartbeat = h.Leaving, h.StoreReachable, h.Confirmed, sentAt
		return m, true
	})
	return known
}

// RemoveExpired removes members that are not registered and of which neither a
// heartbeat nor a peer's report was received within expiryAge.
func (t *Table) RemoveExpired(now time.Time) {
	t.members.Range(func(id EntryID, _ Member) bool {
		t.members.Update(id, func(m Member, ok bool) (Member, bool) {
			return m, ok && (m.Registered || m.Alive(now, expiryAge) || now.Sub(m.ReportedAt) <= expiryAge)
		})
		return true
	})
}

// Members returns all known members without self, ordered by ID.
func (t *Table) Members() []Member {
	var members []Member
	t.members.Range(func(_ EntryID, m Member) bool {
		members = append(members, m)
		return true
	})
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Registrations returns the registrations of the known members, ordered by ID.
func (t *Table) Registrations() []Registration {
	members := t.Members()
	registrations := make([]Registration, len(members))
	for i, m := range members {
		registrations[i] = Registration{ID: m.ID, PeerAddress: m.PeerAddress, OperatorAddress: m.OperatorAddress, AvailabilityZone: m.AvailabilityZone}
	}
	return registrations
}

// Member returns a member, and whether it is known.
func (t *Table) Member(id EntryID) (Member, bool) { return t.members.Get(id) }
