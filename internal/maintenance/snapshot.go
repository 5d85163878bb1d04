package maintenance

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Snapshot is the input of a plan. Records, Disruptions, Wave and Roster are of
// the same revision of the store.
type Snapshot struct {
	Now              time.Time
	Records          map[string]Record         // by instance
	Listed           map[string]fleet.Instance // the platform's list, by instance
	ListedKnown      bool                      // Listed has been read at least once
	Disruptions      Disruptions
	Wave             Wave
	Roster           EntryRoster
	Entries          []EntryReport     // of the entries that are registered or known; nil: not determined
	Budgets          []Budget          // one for each pool
	ServicePools     map[string]string // the pool of each service
	Acknowledgements []Acknowledgement // of every entry whose acknowledgement is needed
	Complete         bool              // Acknowledgements can be relied on (see SetReports)
	LeavingWait      time.Duration     // an instance must have been leaving for at least this long, since an absent entry may not know of it
}

// live reports whether the platform's list shows the instance live.
func (s *Snapshot) live(id string) bool {
	i, listed := s.Listed[id]
	return listed && i.State == fleet.Live
}

// acknowledged reports whether every entry acts on r or a later record or, if
// the entry is absent, has had the time to stop by itself.
func (s *Snapshot) acknowledged(r Record) bool {
	if !s.Complete || r.Version == 0 || s.Now.Sub(r.Since) < s.LeavingWait {
		return false
	}
	for _, a := range s.Acknowledgements {
		if a.Revision < r.Version {
			return false
		}
	}
	return true
}

// poolOf returns the pool to which a new instance belongs by its kind and
// service, and whether that pool is configured.
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

// budget returns the budget of a pool. The budget of a pool that is not
// configured allows no instance to be unavailable.
func (s *Snapshot) budget(pool string) Budget {
	for _, b := range s.Budgets {
		if b.Pool == pool {
			return b
		}
	}
	return Budget{Pool: pool}
}
