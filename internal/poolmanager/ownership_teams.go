package poolmanager

import (
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/teams"
)

// followTeams keeps the shares of the teams in the pool as the configuration in force has
// them, until the ownership ends.
func (o *poolOwnership) followTeams() {
	for {
		config, changed := o.config.Watch()
		o.pool.SetTeams(teamShares(config))
		select {
		case <-o.ctx.Done():
			return
		case <-changed:
		}
	}
}

// teamShares returns the shares of the configured teams, by name.
func teamShares(c *poolconfig.Configuration) map[string]teams.Share {
	if c == nil {
		return nil
	}
	shares := make(map[string]teams.Share, len(c.Teams))
	for i := range c.Teams {
		shares[c.Teams[i].Name] = teams.Share{Weight: c.Teams[i].Weight, Priority: c.Teams[i].Priority}
	}
	return shares
}

// TeamCounts returns the totals of the teams in the pools that this entry owns, by service
// and team. Pools that are still being loaded, or have no teams, are left out.
func (m *Manager) TeamCounts() map[string]map[string]teams.Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]map[string]teams.Counts, len(m.ownerships))
	for service, o := range m.ownerships {
		if service == machineControllerRole || !o.loaded.Load() {
			continue
		}
		if of := o.pool.TeamCounts(); len(of) > 0 {
			counts[service] = of
		}
	}
	return counts
}
