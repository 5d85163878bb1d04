package maintenance

// Tally counts the instances of a pool and relates them to its availability
// budget.
type Tally struct {
	Pool    string `json:"pool"`
	Home    int    `json:"home"`    // instances that belong to it
	Present int    `json:"present"` // live instances that serve it and are not reserved; lent spares count for their own pool too
	Needed  int    `json:"needed"`  // instances that its budget requires
	Spare   bool   `json:"spare"`
}

// Free returns how many instances may leave the pool now; negative if failures
// have exceeded the budget.
func (t Tally) Free() int { return t.Present - t.Needed }

// Tallies returns the tally of each pool, by pool.
func Tallies(s *Snapshot) map[string]Tally {
	tallies := make(map[string]Tally, len(s.Budgets))
	for _, b := range s.Budgets {
		tallies[b.Pool] = Tally{Pool: b.Pool, Spare: b.Spare}
	}
	for id, r := range s.Records {
		home := tallies[r.Home]
		home.Pool = r.Home
		home.Home++
		tallies[r.Home] = home
		_, reserved := s.Disruptions.Find(id)
		if r.Phase == Serving && s.live(id) && !reserved {
			pool := tallies[r.Pool]
			pool.Pool = r.Pool
			pool.Present++
			tallies[r.Pool] = pool
		}
		if home := tallies[r.Home]; r.Lent() && home.Spare && s.live(id) {
			home.Present++ // a lent spare stays available as far as the budget of the spares is concerned
			tallies[r.Home] = home
		}
	}
	for pool, t := range tallies {
		t.Needed = t.Home - s.budget(pool).Allowed(t.Home)
		tallies[pool] = t
	}
	return tallies
}
