package routing

import (
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Table holds the instances that may receive new work, in shards by service.
type Table struct {
	services *shard.Map[string, []fleet.Instance]
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{services: shard.NewMap[string, []fleet.Instance]()} }

// Replace takes over the platform's list: live upstreams only.
func (t *Table) Replace(instances []fleet.Instance) {
	byService := make(map[string][]fleet.Instance)
	for _, i := range instances {
		if i.Kind == fleet.KindUpstream && i.State == fleet.Live {
			byService[i.Service] = append(byService[i.Service], i)
		}
	}
	t.services.Range(func(service string, _ []fleet.Instance) bool {
		if byService[service] == nil {
			t.services.Delete(service)
		}
		return true
	})
	for service, live := range byService {
		t.services.Set(service, live)
	}
}

// Candidates returns the instances of service that may receive new work. The
// slice is shared and must not be changed.
func (t *Table) Candidates(service string) []fleet.Instance {
	candidates, _ := t.services.Get(service)
	return candidates
}
