package entry

import (
	"context"
	"strings"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/telemetry"
)

var _ controller.Sources = (*control)(nil)

// Changed implements controller.Sources.
func (c *control) Changed() <-chan struct{} {
	_, changed := c.inputChanges.Watch()
	return changed
}

// State implements controller.Sources.
func (c *control) State() maintenance.State { return c.view.State() }

// Snapshot implements controller.Sources. It reads the registered entries from
// the store only while an instance is leaving or the roster may have to change.
func (c *control) Snapshot(ctx context.Context) (maintenance.Snapshot, bool) {
	s, known := c.snapshot()
	if !known {
		return s, false
	}
	if c.anyLeaving(&s) || c.rosterMayChange(&s) {
		c.fillAcknowledgements(ctx, &s)
	}
	return s, true
}

func (c *control) anyLeaving(s *maintenance.Snapshot) bool {
	for _, r := range s.Records {
		if r.Phase == maintenance.Leaving {
			return true
		}
	}
	return false
}

// rosterMayChange reports whether this entry's reports of the others would
// change the roster.
func (c *control) rosterMayChange(s *maintenance.Snapshot) bool {
	reports := []maintenance.EntryReport{c.entryReport(c.entry.settings.ID, true)}
	for _, m := range c.entry.members.Members() {
		reports = append(reports, c.entryReport(string(m.ID), m.Registered))
	}
	_, changed := s.Roster.Update(s.Now, reports, c.policy.LostFor)
	return changed
}

// snapshot returns what this entry knows, without any call to the store or the
// peers, and whether the records and the configuration are known.
func (c *control) snapshot() (maintenance.Snapshot, bool) {
	e := c.entry
	s := maintenance.Snapshot{Now: e.clock.Now().UTC().Round(0), Listed: make(map[string]fleet.Instance)}
	known := c.view.Fill(&s)
	list := e.inventory.Get().Instances
	for _, i := range list {
		s.Listed[i.ID] = i
	}
	s.ListedKnown = list != nil
	configured := e.inForce.Get().Configuration
	if configured == nil {
		return s, false
	}
	s.Budgets, s.ServicePools = maintenance.Budgets(configured), maintenance.ServicePools(configured)
	return s, known
}

// fillAcknowledgements collects the report of every entry that is registered in
// the store now, or sends heartbeats although its lease has lapsed. For an entry
// that is neither, the plan waits until the fence has passed: the entry has then
// stopped by itself.
func (c *control) fillAcknowledgements(ctx context.Context, s *maintenance.Snapshot) {
	e := c.entry
	listing, err := e.platform.WithPurpose(platform.PurposeWaves).List(ctx, membersPrefix)
	if err != nil {
		e.log.Warn("cannot read the registered entries; this planning round runs without their acknowledgements", telemetry.ProblemFields(err)...)
		return
	}
	reports := []maintenance.EntryReport{}
	registered := make(map[string]bool, len(listing.Items))
	for _, kv := range listing.Items {
		id := strings.TrimPrefix(kv.Key, membersPrefix)
		registered[id] = true
		reports = append(reports, c.entryReport(id, true))
	}
	if !registered[e.settings.ID] {
		return // an entry that is not registered decides nothing
	}
	for _, m := range e.members.Members() {
		if !registered[string(m.ID)] {
			reports = append(reports, c.entryReport(string(m.ID), false))
		}
	}
	s.SetReports(reports, e.clock.Since(c.membersStableSince.Get()), e.settings.Maintenance.Fence, e.settings.Membership.LeaseTTL)
}
