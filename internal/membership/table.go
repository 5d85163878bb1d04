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
		m.ID, m.PeerAddress, m.OperatorAddress = r.ID, r.PeerAddress, r.OperatorAddress
		m.AvailabilityZone, m.Registered = r.AvailabilityZone, true
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

// Heard notes a heartbeat at time now. Heartbeats of strangers are dropped:
// only the store makes members.
func (t *Table) Heard(h Heartbeat, now time.Time) {
	t.members.Update(h.Entry, func(m Member, ok bool) (Member, bool) {
		m.ConfigurationVersion = max(m.ConfigurationVersion, h.ConfigurationVersion)
		m.MaintenanceRevision = h.MaintenanceRevision
		m.Leaving, m.StoreReachable, m.LastHeard = h.Leaving, h.StoreReachable, now
		return m, ok
	})
}

// Forget drops members that are neither registered nor heard for long.
func (t *Table) Forget(now time.Time) {
	t.members.Range(func(id EntryID, _ Member) bool {
		t.members.Update(id, func(m Member, ok bool) (Member, bool) {
			return m, ok && (m.Registered || m.Alive(now, forgetAfter))
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

// Member returns what is known of one member.
func (t *Table) Member(id EntryID) (Member, bool) { return t.members.Get(id) }
