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
	_, changed := c.stirs.Watch()
	return changed
}

// State implements controller.Sources.
func (c *control) State() maintenance.State { return c.view.State() }

// Snapshot implements controller.Sources. The store is only asked for the
// registered entries while something leaves or the roster may have to change.
func (c *control) Snapshot(ctx context.Context) (maintenance.Snapshot, bool) {
	s, known := c.snapshot()
	if !known {
		return s, false
	}
	if c.somethingLeaves(&s) || c.rosterDue(&s) {
		c.fillAcknowledgements(ctx, &s)
	}
	return s, true
}

func (c *control) somethingLeaves(s *maintenance.Snapshot) bool {
	for _, r := range s.Records {
		if r.Phase == maintenance.Leaving {
			return true
		}
	}
	return false
}

// rosterDue reports whether the roster may have to change by what this entry
// knows of the others.
func (c *control) rosterDue(s *maintenance.Snapshot) bool {
	words := []maintenance.EntryReport{c.word(c.entry.settings.ID, true)}
	for _, m := range c.entry.members.Members() {
		words = append(words, c.word(string(m.ID), m.Registered))
	}
	_, changed := s.Roster.Update(s.Now, words, c.policy.LostFor)
	return changed
}

// snapshot returns what this entry knows without asking anyone.
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

// fillAcknowledgements collects the word of every entry that is registered
// with the store now, or heard although its lease has lapsed. An entry that is
// gone is waited for until it has surely stopped by itself.
func (c *control) fillAcknowledgements(ctx context.Context, s *maintenance.Snapshot) {
	e := c.entry
	listing, err := e.platform.For(platform.PurposeWaves).List(ctx, membersPrefix)
	if err != nil {
		e.log.Warn("registered entries not read", telemetry.ProblemFields(err)...)
		return
	}
	words := []maintenance.EntryReport{}
	registered := make(map[string]bool, len(listing.Items))
	for _, kv := range listing.Items {
		id := strings.TrimPrefix(kv.Key, membersPrefix)
		registered[id] = true
		words = append(words, c.word(id, true))
	}
	if !registered[e.settings.ID] {
		return // an entry that is not registered decides nothing
	}
	for _, m := range e.members.Members() {
		if !registered[string(m.ID)] {
			words = append(words, c.word(string(m.ID), false))
		}
	}
	s.Await(words, e.clock.Since(c.steady.Get()), e.settings.Maintenance.Fence, e.settings.Membership.LeaseTTL)
}
