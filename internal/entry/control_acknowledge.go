package entry

import (
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/membership"
)

// entryReport returns what this entry knows of an entry, itself included.
func (c *control) entryReport(id string, registered bool) maintenance.EntryReport {
	e := c.entry
	if id == e.settings.ID {
		return maintenance.EntryReport{Entry: id, Registered: registered, Recent: true, Revision: c.acknowledged()}
	}
	m, known := e.members.Member(membership.EntryID(id))
	recent := known && m.Alive(e.clock.Now(), e.settings.Membership.SuspectAfter)
	return maintenance.EntryReport{Entry: id, Registered: registered, Recent: recent, Leaving: m.Leaving, Revision: m.MaintenanceRevision}
}

// acknowledged returns the revision of the records up to which this entry acts
// on them and has no earlier work left on a leaving instance.
func (c *control) acknowledged() uint64 {
	revision := c.router.settledRevision()
	c.view.Leaving(func(r maintenance.Record) {
		if c.work.at(r.Instance) > 0 || c.entry.jobs.occupies(r.Instance) {
			revision = min(revision, r.Version-1)
		}
	})
	return revision
}

// mayAct reports whether this entry may place work by the records that it knows,
// of which revision is that of the latest change: the store confirmed them within
// the fence, or the store is out of service for most of the entries and not for
// this one alone.
func (c *control) mayAct(revision uint64) bool {
	e := c.entry
	now, read := e.clock.Now(), c.source.confirmed.Get()
	var peers []maintenance.PeerReport
	for _, m := range e.members.Members() {
		peers = append(peers, maintenance.PeerReport{
			Entry:          string(m.ID),
			Recent:         m.Alive(now, e.settings.Membership.SuspectAfter),
			StoreReachable: e.slots.reachesStore(m, now),
			Revision:       m.MaintenanceRevision,
		})
	}
	return maintenance.MayAct(now, read.startedAt, e.settings.Maintenance.Fence, max(revision, read.revision), e.settings.ID, c.view.State().Roster, peers)
}
