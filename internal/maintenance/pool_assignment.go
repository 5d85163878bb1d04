package maintenance

import "persimmonbay/internal/fleet"

// PoolAssignment returns the pools of the services that have a live instance
// on the list: those with an instance whose record is known, and those without.
func PoolAssignment(listed []fleet.Instance, record func(id string) (Record, bool), servicePools map[string]string) (assigned, unassigned []string) {
	known := make(map[string]bool)
	for _, i := range listed {
		pool, configured := servicePools[i.Service]
		if !configured || i.Kind != fleet.KindUpstream || i.State != fleet.Live {
			continue
		}
		_, found := record(i.ID)
		known[pool] = known[pool] || found
	}
	for _, pool := range sortedIDs(known) {
		if known[pool] {
			assigned = append(assigned, pool)
			continue
		}
		unassigned = append(unassigned, pool)
	}
	return assigned, unassigned
}
