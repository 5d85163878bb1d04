package entry

import (
	"sort"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator/message"
)

// Instances implements operator.FleetBackend.
func (e *Entry) Instances() []message.InstanceStatus {
	s, _ := e.control.snapshot()
	all := []message.InstanceStatus{}
	for id, i := range s.Listed {
		all = append(all, instanceStatus(&s, id, message.InstanceStatus{Instance: i}))
	}
	for id := range s.Records {
		if _, listed := s.Listed[id]; !listed {
			out := message.InstanceStatus{Missing: true}
			out.ID = id
			all = append(all, instanceStatus(&s, id, out))
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

func instanceStatus(s *maintenance.Snapshot, id string, out message.InstanceStatus) message.InstanceStatus {
	r := s.Records[id]
	out.Pool, out.Home, out.Target, out.Phase, out.Since = r.Pool, r.Home, r.Target, r.Phase, r.Since
	out.Missing, out.Maintained = out.Missing || r.Missing(), r.Maintained
	if v, reserved := s.Disruptions.Find(id); reserved {
		out.ReservedFor, out.ReservedBy = v.Kind, v.Owner()
	}
	return out
}

// Pools implements operator.FleetBackend.
func (e *Entry) Pools() []message.PoolStatus {
	s, _ := e.control.snapshot()
	counts := maintenance.PoolCounts(&s)
	pools := []message.PoolStatus{}
	for _, t := range counts {
		p := message.PoolStatus{PoolCount: t, Services: []string{}}
		for service, pool := range s.ServicePools {
			if pool == t.Pool {
				p.Services = append(p.Services, service)
			}
		}
		sort.Strings(p.Services)
		pools = append(pools, p)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Pool < pools[j].Pool })
	return pools
}

// Services implements operator.FleetBackend.
func (e *Entry) Services() []message.ServiceStatus {
	s, _ := e.control.snapshot()
	counts := maintenance.PoolCounts(&s)
	services := []message.ServiceStatus{}
	c := e.inForce.Get().Configuration
	if c == nil {
		return services
	}
	for i := range c.Services {
		v, t := &c.Services[i], counts[c.Services[i].Pool]
		services = append(services, message.ServiceStatus{
			Service: v.Name, Pool: v.Pool, AvailabilityBudget: v.AvailabilityBudget,
			Instances: t.Home, Present: t.Present, Needed: t.Needed, Slots: v.Slots, Connections: v.Connections,
		})
	}
	return services
}

// Teams implements operator.FleetBackend.
func (e *Entry) Teams() []message.TeamStatus {
	teams := []message.TeamStatus{}
	c := e.inForce.Get().Configuration
	if c == nil {
		return teams
	}
	for _, t := range c.Teams {
		teams = append(teams, message.TeamStatus{Team: t.Name, TopClass: t.TopClass, Weight: t.Weight})
	}
	return teams
}

// Wave implements operator.FleetBackend.
func (e *Entry) Wave() maintenance.Progress {
	s, _ := e.control.snapshot()
	return maintenance.ProgressOf(&s, e.control.policy)
}
