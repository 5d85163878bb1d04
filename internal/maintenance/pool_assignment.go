package maintenance

import "persimmonbay/internal/fleet"

// PoolAssignment returns the pools of the services that have a live instance on
// the list: those with an instance that has a record, and those without. Both
// are sorted.
func PoolAssignment(listed []fleet.Instance, record func(id string) (Record, bool), servicePools map[string]string) (assigned, unassigned []string) {
	hasRecord := make(map[string]bool)
	for _, i := range listed {
		pool, configured := servicePools[i.Service]
		if !configured || i.Kind != fleet.KindUpstream || i.State != fleet.Live {
			continue
		}
		_, found := record(i.ID)
		hasRecord[pool] = hasRecord[pool] || found
	}
	for _, pool := range sortedIDs(hasRecord) {
		if hasRecord[pool] {
			assigned = append(assigned, pool)
			continue
		}
		unassigned = append(unassigned, pool)
	}
	return assigned, unassigned
}
