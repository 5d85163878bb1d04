package maintenance

import "persimmonbay/internal/configuration"

// Budgets returns the availability budget of each configured pool, and that of
// the workers if jobs are configured.
func Budgets(c *configuration.Configuration) []Budget {
	budgets := make([]Budget, 0, len(c.Pools))
	for _, pool := range c.Pools {
		b := Budget{Pool: pool.Name, Spare: pool.Spare, Share: 1}
		for i := range c.Services {
			if c.Services[i].Pool == pool.Name {
				b.Share = min(b.Share, c.Services[i].AvailabilityBudget)
			}
		}
		budgets = append(budgets, b)
	}
	if c.Jobs != nil {
		budgets = append(budgets, Budget{Pool: configuration.WorkersPool, Share: c.Jobs.WorkersMayBeAway})
	}
	return budgets
}

// ServicePools returns the pool of each configured service.
func ServicePools(c *configuration.Configuration) map[string]string {
	pools := make(map[string]string, len(c.Services))
	for i := range c.Services {
		pools[c.Services[i].Name] = c.Services[i].Pool
	}
	return pools
}
