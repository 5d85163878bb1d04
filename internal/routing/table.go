package routing

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Table holds the instances that may receive new work, in shards by service.
// A service's lock is held while the instances' own words are asked for;
// never the other way round.
type Table struct {
	services *shard.Map[string, listed]
	leaving  *Leaving
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{services: shard.NewMap[string, listed](), leaving: NewLeaving()}
}

// Replace takes over the platform's list at now: live upstreams only.
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
		t.leaving.Listed(m.Instance, live[m.Instance], now)
	}
	t.services.Range(func(service string, _ listed) bool {
		if byService[service] == nil {
			t.services.Delete(service)
		}
		return true
	})
	for service, live := range byService {
		t.services.Update(service, func(listed, bool) (listed, bool) {
			return listed{live: live, open: t.open(live, now)}, true
		})
	}
}

// Mark notes that an instance said that it is leaving, and reports whether
// that was news.
func (t *Table) Mark(m LeavingMark, now time.Time) (news bool) {
	if news = t.leaving.Mark(m, now); news {
		t.Refresh(now)
	}
	return news
}

// Marks returns the instances' own words that hold at now.
func (t *Table) Marks(now time.Time) []LeavingMark { return t.leaving.Marks(now) }

// Refresh takes into account which instances' words hold at now. It is called
// regularly, so that old words lapse also while the platform is away.
func (t *Table) Refresh(now time.Time) {
	t.services.Range(func(service string, _ listed) bool {
		t.services.Update(service, func(l listed, ok bool) (listed, bool) {
			l.open = t.open(l.live, now)
			return l, ok
		})
		return true
	})
}

func (t *Table) open(live []fleet.Instance, now time.Time) []fleet.Instance {
	open := make([]fleet.Instance, 0, len(live))
	for _, i := range live {
		if !t.leaving.Holds(i.ID, now) {
			open = append(open, i)
		}
	}
	return open
}

// Candidates returns the instances of service that may receive new work. The
// slice is shared and must not be changed.
func (t *Table) Candidates(service string) []fleet.Instance {
	l, _ := t.services.Get(service)
	return l.open
}
