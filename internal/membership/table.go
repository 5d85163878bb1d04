package membership

import (
	"sort"
	"time"

	"persimmonbay/internal/shard"
)

// forgetAfter is how long an unregistered and unheard member is remembered.
const forgetAfter = time.Minute

// Table holds what this entry knows of the other entries, in shards by ID.
// A member is kept while its registration stands in the store or it is heard,
// so that an outage of the store takes nobody out of the table.
type Table struct {
	self    EntryID
	members *shard.Map[EntryID, Member]
}

// NewTable returns an empty table of the entry called self.
func NewTable(self EntryID) *Table {
	return &Table{self: self, members: shard.NewMapOf[EntryID, Member](8)}
}

// Register notes a registration seen in the store.
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

// Unregister notes that a registration has gone from the store.
func (t *Table) Unregister(id EntryID) {
	t.members.Update(id, func(m Member, ok bool) (Member, bool) {
		m.Registered = false
		return m, ok
	})
}

// Retain unregisters every member that is not among the registered.
func (t *Table) Retain(registered map[EntryID]bool) {
	t.members.Range(func(id EntryID, _ Member) bool {
		if !registered[id] {
			t.Unregister(id)
		}
		return true
	})
}

// AddReported adds a member that a peer reported. It is not Registered, so it
// goes when it is unheard for long. A known member stays as it is.
func (t *Table) AddReported(r Registration, now time.Time) {
	t.admit(r, func(m Member, ok bool) Member {
		if !ok {
			m = relocated(m, r)
		}
		m.ReportedAt = now
		return m
	})
}

// RecordAnnouncement records what an entry reported of itself: it is where it says, even if
// the store's list shows an address from before its restart.
func (t *Table) RecordAnnouncement(r Registration, now time.Time) {
	t.admit(r, func(m Member, _ bool) Member {
		m = relocated(m, r)
		m.ReportedAt = now
		return m
	})
}

func (t *Table) admit(r Registration, change func(m Member, ok bool) Member) {
	if r.ID == t.self || r.ID == "" || r.PeerAddress == "" {
		return
	}
	t.members.Update(r.ID, func(m Member, ok bool) (Member, bool) { return change(m, ok), true })
}

func relocated(m Member, r Registration) Member {
	m.ID, m.PeerAddress, m.OperatorAddress = r.ID, r.PeerAddress, r.OperatorAddress
	m.AvailabilityZone = r.AvailabilityZone
	return m
}

// RecordHeartbeat notes a heartbeat at time now and reports whether its sender is known.
// Within one incarnation the version never goes back, so that heartbeats may
// overtake each other; a restarted entry has what it says.
func (t *Table) RecordHeartbeat(h Heartbeat, now time.Time) bool {
	known := false
	t.members.Update(h.Entry, func(m Member, ok bool) (Member, bool) {
		known = ok
		if !ok || h.Incarnation < m.Incarnation {
			return m, ok
		}
		if h.Incarnation == m.Incarnation {
			h.ConfigurationVersion = max(h.ConfigurationVersion, m.ConfigurationVersion)
		}
		m.Incarnation, m.ConfigurationVersion = h.Incarnation, h.ConfigurationVersion
		m.MaintenanceRevision = h.MaintenanceRevision
		m.Leaving, m.StoreReachable, m.Confirmed, m.LastHeartbeat = h.Leaving, h.StoreReachable, h.Confirmed, now
		return m, true
	})
	return known
}

// Forget drops members that are neither registered nor heard for long.
func (t *Table) Forget(now time.Time) {
	t.members.Range(func(id EntryID, _ Member) bool {
		t.members.Update(id, func(m Member, ok bool) (Member, bool) {
			return m, ok && (m.Registered || m.Alive(now, forgetAfter) || now.Sub(m.ReportedAt) <= forgetAfter)
		})
		return true
	})
}

// Members returns all known members, ordered by ID, without self.
func (t *Table) Members() []Member {
	var members []Member
	t.members.Range(func(_ EntryID, m Member) bool {
		members = append(members, m)
		return true
	})
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Registrations returns where the known members listen, ordered by ID.
func (t *Table) Registrations() []Registration {
	members := t.Members()
	registrations := make([]Registration, len(members))
	for i, m := range members {
		registrations[i] = Registration{ID: m.ID, PeerAddress: m.PeerAddress, OperatorAddress: m.OperatorAddress, AvailabilityZone: m.AvailabilityZone}
	}
	return registrations
}

// Member returns what is known of one member.
func (t *Table) Member(id EntryID) (Member, bool) { return t.members.Get(id) }
