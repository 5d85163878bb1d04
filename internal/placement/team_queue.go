package placement

// teamQueue holds the queued jobs of one team.
type teamQueue struct {
	team  string
	share float64 // of the team's quota, in use or about to be
	jobs  []*Job  // in the order of their starts
}
