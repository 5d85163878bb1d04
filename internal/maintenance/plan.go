package maintenance

import "sort"

// Plan returns the next changes that follow from s. New instances are assigned
// to a pool, each reservation advances by one step, and a running wave reserves
// further instances as the budgets allow. Without a known list of instances
// only the roster is updated.
func Plan(s *Snapshot, p Policy) Changes {
	if !s.ListedKnown {
		return Changes{Roster: s.nextRoster(p)}
	}
	planner := &planner{s: s, policy: p, disruptions: s.Disruptions, poolCounts: PoolCounts(s), written: make(map[string]bool)}
	planner.assign()
	for _, id := range sortedIDs(s.Records) {
		planner.deleteGone(s.Records[id])
	}
	for _, r := range s.Disruptions.Reservations {
		planner.advance(r)
	}
	for _, id := range sortedIDs(s.Records) {
		planner.observe(s.Records[id])
	}
	planner.continueWave()
	planner.changes.Roster = s.nextRoster(p)
	return planner.result()
}

// nextRoster returns the roster to be written, or nil if it is unchanged.
func (s *Snapshot) nextRoster(p Policy) *EntryRoster {
	if s.Entries == nil {
		return nil
	}
	if next, changed := s.Roster.Update(s.Now, s.Entries, p.LostFor); changed {
		return &next
	}
	return nil
}

func sortedIDs[V any](byID map[string]V) []string {
	ids := make([]string, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
