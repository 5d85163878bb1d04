package maintenance

// PoolCount counts the instances of a pool and relates them to its availability
// budget.
type PoolCount struct {
	Pool    string `json:"pool"`
	Home    int    `json:"home"`    // instances that belong to it
	Present int    `json:"present"` // live instances that serve it and are not reserved; lent spares count for their own pool too
	Needed  int    `json:"needed"`  // instances that its budget requires
	Spare   bool   `json:"spare"`
}

// Free returns how many instances may leave the pool now; negative if failures
// have exceeded the budget.
func (t PoolCount) Free() int { return t.Present - t.Needed }

// PoolCounts returns the counts of each pool, by pool.
func PoolCounts(s *Snapshot) map[string]PoolCount {
	counts := make(map[string]PoolCount, len(s.Budgets))
	for _, b := range s.Budgets {
		counts[b.Pool] = PoolCount{Pool: b.Pool, Spare: b.Spare}
	}
	for id, r := range s.Records {
		home := counts[r.Home]
		home.Pool = r.Home
		home.Home++
		counts[r.Home] = home
		_, reserved := s.Disruptions.Find(id)
		if r.Phase == Serving && s.live(id) && !reserved {
			pool := counts[r.Pool]
			pool.Pool = r.Pool
			pool.Present++
			counts[r.Pool] = pool
		}
		if home := counts[r.Home]; r.Lent() && home.Spare && s.live(id) {
			home.Present++ // a lent spare stays available as far as the budget of the spares is concerned
			counts[r.Home] = home
		}
	}
	for pool, t := range counts {
		t.Needed = t.Home - s.budget(pool).Allowed(t.Home)
		counts[pool] = t
	}
	return counts
}
