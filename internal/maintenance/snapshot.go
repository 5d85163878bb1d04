package maintenance

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Snapshot is everything a plan follows from. Records, Disruptions, Wave and Roster
// are of one revision of the store.
type Snapshot struct {
	Now              time.Time
	Records          map[string]Record         // by instance
	Listed           map[string]fleet.Instance // the platform's list, by instance
	ListedKnown      bool                      // Listed has been read at least once
	Disruptions      Disruptions
	Wave             Wave
	Roster           EntryRoster
	Entries          []EntryReport     // registered or known; nil: not asked for
	Budgets          []Budget          // one for each pool
	ServicePools     map[string]string // the pool of each service
	Acknowledgements []Acknowledgement // of every entry whose word is needed
	Complete         bool              // Acknowledgements holds every such entry
	Settle           time.Duration     // what leaves must have done so for this long, since an entry that is gone may have missed it
}

// live reports whether the platform's list shows the instance live.
func (s *Snapshot) live(id string) bool {
	i, listed := s.Listed[id]
	return listed && i.State == fleet.Live
}

// acknowledged reports whether every entry acts on what r says or, if it is
// gone, has had the time to stop by itself.
func (s *Snapshot) acknowledged(r Record) bool {
	if !s.Complete || r.Version == 0 || s.Now.Sub(r.Since) < s.Settle {
		return false
	}
	for _, a := range s.Acknowledgements {
		if a.Revision < r.Version {
			return false
		}
	}
	return true
}

// poolOf returns the pool that an instance belongs to by what it is for, and
// whether that pool is configured.
func (s *Snapshot) poolOf(instance fleet.Instance) (string, bool) {
	if instance.Kind == fleet.KindUpstream {
		pool, configured := s.ServicePools[instance.Service]
		return pool, configured
	}
	for _, b := range s.Budgets {
		if b.workers() && instance.Kind == fleet.KindWorker {
			return b.Pool, true
		}
	}
	return "", false
}

// budget returns the budget of a pool. A pool that is not configured may lose
// nothing.
func (s *Snapshot) budget(pool string) Budget {
	for _, b := range s.Budgets {
		if b.Pool == pool {
			return b
		}
	}
	return Budget{Pool: pool}
}
