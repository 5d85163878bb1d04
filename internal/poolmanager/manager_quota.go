package poolmanager

import (
	"maps"
	"slices"

	"persimmonbay/internal/quota"
)

// maxQuotaTeamsShown bounds the teams that the metrics show of each pool.
const maxQuotaTeamsShown = 64

// Quotas returns what the pools that this entry owns have for teams with caps, by service
// and team, of at most maxQuotaTeamsShown teams each. Pools without such teams are left out.
func (m *Manager) Quotas() map[string]map[string]quota.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]map[string]quota.Status)
	for service, o := range m.ownerships {
		if service == machineControllerRole || !o.loaded.Load() {
			continue
		}
		statuses := o.pool.QuotaStatuses()
		for i, team := range slices.Sorted(maps.Keys(statuses)) {
			if i >= maxQuotaTeamsShown {
				delete(statuses, team)
			}
		}
		if len(statuses) > 0 {
			all[service] = statuses
		}
	}
	return all
}
