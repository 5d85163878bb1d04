package maintenance

import "persimmonbay/internal/fleet"

// ServingInstances returns the instances to which new work may be sent. Each
// instance appears once for every service of its pool, with that service set.
// An instance without a record serves nothing yet.
func ServingInstances(listed []fleet.Instance, record func(id string) (Record, bool), servicePools map[string]string) []fleet.Instance {
	byPool := make(map[string][]string)
	for service, pool := range servicePools {
		byPool[pool] = append(byPool[pool], service)
	}
	serving := make([]fleet.Instance, 0, len(listed))
	for _, i := range listed {
		r, known := record(i.ID)
		if !known || r.Phase != Serving {
			continue
		}
		for _, service := range byPool[r.Pool] {
			i.Service = service
			serving = append(serving, i)
		}
	}
	return serving
}
