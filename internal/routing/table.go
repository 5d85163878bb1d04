package routing

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Table holds the instances that may receive new work, in shards by service.
// A service's lock is held while locks of the leaving set are taken, never the other
// way round.
type Table struct {
	services *shard.Map[string, serviceInstances]
	leaving  *LeavingSet
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{services: shard.NewMap[string, serviceInstances](), leaving: NewLeavingSet()}
}

// Replace applies the platform's list, read at now. It uses only live upstreams.
func (t *Table) Replace(instances []fleet.Instance, now time.Time) {
	byService := make(map[string][]fleet.Instance)
	live := make(map[string]bool, len(instances))
	for _, i := range instances {
		if i.Kind == fleet.KindUpstream && i.State == fleet.Live {
			byService[i.Service] = append(byService[i.Service], i)
			live[i.ID] = true
		}
	}
	for _, m := range t.leaving.Marks(now) {
		t.leaving.RecordListed(m.Instance, live[m.Instance], now)
	}
	t.services.Range(func(service string, _ serviceInstances) bool {
		if byService[service] == nil {
			t.services.Delete(service)
		}
		return true
	})
	for service, live := range byService {
		t.services.Update(service, func(serviceInstances, bool) (serviceInstances, bool) {
			return serviceInstances{live: live, eligible: t.eligible(live, now)}, true
		})
	}
}

// MarkLeaving records that an instance reported that it is leaving, and returns
// whether it was not leaving before.
func (t *Table) MarkLeaving(m LeavingMark, now time.Time) (changed bool) {
	if changed = t.leaving.Mark(m, now); changed {
		t.Refresh(now)
	}
	return changed
}

// LeavingMarks returns the instances' reports that apply at now.
func (t *Table) LeavingMarks(now time.Time) []LeavingMark { return t.leaving.Marks(now) }

// Refresh updates the candidates to the reports that apply at now. It is called
// regularly, so that reports expire also while the platform is unreachable.
func (t *Table) Refresh(now time.Time) {
	t.services.Range(func(service string, _ serviceInstances) bool {
		t.services.Update(service, func(l serviceInstances, ok bool) (serviceInstances, bool) {
			l.eligible = t.eligible(l.live, now)
			return l, ok
		})
		return true
	})
}

// eligible returns the instances that did not report that they are leaving.
func (t *Table) eligible(live []fleet.Instance, now time.Time) []fleet.Instance {
	eligible := make([]fleet.Instance, 0, len(live))
	for _, i := range live {
		if !t.leaving.IsLeaving(i.ID, now) {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// Candidates returns the instances of service that may receive new work. The
// slice is shared and must not be changed.
func (t *Table) Candidates(service string) []fleet.Instance {
	l, _ := t.services.Get(service)
	return l.eligible
}
